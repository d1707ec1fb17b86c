// Directory of the backend servers that a gateway knows, by id and by key.
#pragma once

#include "gateway/backend.hpp"
#include "policy/slot_request.hpp"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace borageford::gateway {

/// Lookup of backend servers. A key identifies one start of a server (see routing::backend_record::key()), an
/// id identifies the server across its restarts.
class backend_directory {
public:
    /// Returns the server with this key; null when it is unknown or has restarted under another key.
    [[nodiscard]] std::shared_ptr<backend> find(policy::server_key key) const;
    /// Returns the current start of the server with this id; null when it is unknown.
    [[nodiscard]] std::shared_ptr<backend> find_id(std::string_view id) const;

    /// Adds a server or updates its record. If the record names another start than the known one, a new
    /// object replaces the previous start, which is retired.
    void set(routing::backend_record record);
    void remove(std::string_view id);

    [[nodiscard]] const std::map<std::string, std::shared_ptr<backend>, std::less<>>& all() const noexcept {
        return m_backends;
    }
    [[nodiscard]] bool has_ready() const;

    /// Returns whether a server with this key was known recently and has since been removed or restarted.
    [[nodiscard]] bool was_known(policy::server_key key) const;

    /// Calls `on_known` once, when a server with this key becomes known. The callback is dropped without a
    /// call if `waiter` has expired by then.
    void when_known(policy::server_key key, std::weak_ptr<void> waiter, std::function<void()> on_known);

    /// Closes the idle connections whose keep time is over, of all servers. If connections were only closed
    /// on the next request to their server, they would stay open where no request follows. With hundreds of
    /// gateways they would fill up a server, which accepts a limited number of connections in total.
    void close_expired(backend::clock::time_point now);

private:
    struct awaiting {
        std::weak_ptr<void> waiter;
        std::function<void()> on_known;
    };

    void record_previous(policy::server_key key);
    void notify_awaiting(policy::server_key key);

    std::map<std::string, std::shared_ptr<backend>, std::less<>> m_backends;
    std::unordered_map<policy::server_key, std::shared_ptr<backend>> m_by_key;
    /// Keys that were known recently and no longer are, each once; the oldest is dropped first.
    std::deque<policy::server_key> m_previous_keys;
    /// Callbacks by the awaited key; none of these keys is known.
    std::unordered_multimap<policy::server_key, awaiting> m_awaited;
};

} // namespace borageford::gateway
