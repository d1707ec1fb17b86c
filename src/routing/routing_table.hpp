// An immutable, indexed version of the configuration: what a request's host, path and key mean.
#pragma once

#include "routing/routing_types.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace borageford::routing {

/// Lets maps with text keys be asked with a view.
struct text_hash {
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const noexcept {
        return std::hash<std::string_view>{}(text);
    }
};

/// Invariant: every service index in a route is valid (the constructor throws std::invalid_argument).
class routing_table {
public:
    explicit routing_table(routing_document document);

    [[nodiscard]] std::uint64_t version() const noexcept { return m_document.version; }
    [[nodiscard]] const routing_document& document() const noexcept { return m_document; }
    [[nodiscard]] const caller_limits& limits() const noexcept { return m_document.limits; }

    /// The route of this host with the longest prefix that begins the path; null when there is none. The cost
    /// depends on the path's segments, not on the number of routes.
    [[nodiscard]] const route* find_route(std::string_view host, std::string_view target) const;

    /// The workspace that holds this key; null when none does.
    [[nodiscard]] const workspace* find_workspace(std::string_view key) const;

    /// The workspace of this name; null when there is none.
    [[nodiscard]] const workspace* find_workspace_by_name(std::string_view name) const;

    /// The service of this name; null when there is none.
    [[nodiscard]] const service* find_service(std::string_view name) const;

    /// One of the route's services, by weight; `draw` lies in [0, 1).
    [[nodiscard]] const service& choose_service(const route& from, double draw) const;

private:
    template <typename Value>
    using text_map = std::unordered_map<std::string, Value, text_hash, std::equal_to<>>;

    routing_document m_document;
    text_map<text_map<std::size_t>> m_routes; ///< host, then prefix
    text_map<std::size_t> m_keys;
    text_map<std::size_t> m_workspaces;
    text_map<std::size_t> m_services;
};

} // namespace borageford::routing
