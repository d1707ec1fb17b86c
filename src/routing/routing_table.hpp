// Immutable, indexed version of the routing configuration: finds the route for a request's host and path, and
// the workspace for its key.
#pragma once

#include "routing/routing_types.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace borageford::routing {

/// Hash that allows lookups with a string_view in maps with string keys.
struct text_hash {
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const noexcept {
        return std::hash<std::string_view>{}(text);
    }
};

/// Lookups in one version of the routing configuration. Returned pointers and references are valid as long as
/// the table.
///
/// Invariant: every service index in a route is valid; the constructor throws std::invalid_argument
/// otherwise.
class routing_table {
public:
    explicit routing_table(routing_document document);

    [[nodiscard]] std::uint64_t version() const noexcept { return m_document.version; }
    [[nodiscard]] const routing_document& document() const noexcept { return m_document; }
    [[nodiscard]] const caller_limits& limits() const noexcept { return m_document.limits; }

    /// The route of this host with the longest prefix of the path in `target`; null when there is none. A
    /// query in `target` is ignored. The cost depends on the number of segments of the path, not on the
    /// number of routes.
    [[nodiscard]] const route* find_route(std::string_view host, std::string_view target) const;

    /// The workspace to which this API key belongs; null when there is none.
    [[nodiscard]] const workspace* find_workspace(std::string_view key) const;

    /// The workspace of this name; null when there is none.
    [[nodiscard]] const workspace* find_workspace_by_name(std::string_view name) const;

    /// The service of this name; null when there is none.
    [[nodiscard]] const service* find_service(std::string_view name) const;

    /// Chooses one of the route's services by their weights; `draw` is a random number in [0, 1).
    [[nodiscard]] const service& choose_service(const route& from, double draw) const;

private:
    template <typename Value>
    using text_map = std::unordered_map<std::string, Value, text_hash, std::equal_to<>>;

    routing_document m_document;
    text_map<text_map<std::size_t>> m_routes; ///< Indexes of routes by host and then by prefix.
    text_map<std::size_t> m_keys;
    text_map<std::size_t> m_workspaces;
    text_map<std::size_t> m_services;
};

} // namespace borageford::routing
