// The backend servers that a gateway knows, by id.
#pragma once

#include "gateway/backend.hpp"
#include "policy/slot_request.hpp"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace borageford::gateway {

class backend_directory {
public:
    /// The start of a server with this key; null when it is not known, or no longer the present one.
    [[nodiscard]] std::shared_ptr<backend> find(policy::server_key key) const;
    /// The present start of the server with this id; null when it is not known.
    [[nodiscard]] std::shared_ptr<backend> find_id(std::string_view id) const;

    /// Adds the server or takes its changed record. Another start than the one that was known replaces it:
    /// nothing is left of the former one.
    void set(routing::backend_record record);
    void remove(std::string_view id);

    [[nodiscard]] const std::map<std::string, std::shared_ptr<backend>, std::less<>>& all() const noexcept {
        return m_backends;
    }
    [[nodiscard]] bool has_ready() const;

    /// Closes the idle connections whose time is over. Closed with the next request to their server alone,
    /// they stayed where none came: of 250 gateways each held some at each of 60 servers, which take a
    /// bounded number from all callers together.
    void close_expired(backend::clock::time_point now);

private:
    std::map<std::string, std::shared_ptr<backend>, std::less<>> m_backends;
    std::unordered_map<policy::server_key, std::shared_ptr<backend>> m_by_key;
};

} // namespace borageford::gateway
