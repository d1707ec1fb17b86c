// The backend servers of each service that may get requests, and which of them have room for one more.
#pragma once

#include "policy/slot_choice.hpp"
#include "policy/slot_server.hpp"

#include <cstddef>
#include <unordered_map>
#include <vector>

namespace borageford::policy {

/// Holds pointers to servers, which must stay where they are until they are erased.
class server_pools {
public:
    using server_list = std::vector<slot_server*>;

    /// Adds a usable server to the pool of its service.
    void insert(slot_server& server);
    /// Removes a server from the pool of its service, and from the servers with room.
    void erase(slot_server& server);
    /// Adds the server to the servers with room, or removes it from them.
    void set_has_room(slot_server& server, bool has_room);

    /// All servers of a service, also those in a cooldown.
    [[nodiscard]] slot_servers servers_of(service_key service) const;

    /// The servers of a service that have slots left, also those in a cooldown.
    [[nodiscard]] slot_servers with_room(service_key service) const;

    /// Returns up to `max_count` servers with room of which `is_suitable` is true. Each search continues
    /// where the last one ended, so that all servers get their turn.
    template <typename Predicate>
    [[nodiscard]] server_list find(service_key service, std::size_t max_count, const Predicate& is_suitable);

private:
    struct pool {
        server_list servers;
        /// The elements of `servers` that have slots left and whose rate limits allow a request, whether or
        /// not they are in a cooldown. Under load they are few, whereas the time of a search through all
        /// servers of a service would grow with their number.
        server_list with_room;
        std::size_t next = 0; ///< index in `with_room` after which the next search starts
    };

    /// Invariant: a server's `with_room_index` is its index in the list `with_room` of its service.
    std::unordered_map<service_key, pool> m_pools;
};

template <typename Predicate>
server_pools::server_list server_pools::find(service_key service, std::size_t max_count,
                                             const Predicate& is_suitable) {
    server_list result;
    auto& searched = m_pools[service];
    const auto count = searched.with_room.size();
    for (std::size_t examined = 0; examined < count && result.size() < max_count; ++examined) {
        searched.next = (searched.next + 1) % count;
        auto* server = searched.with_room[searched.next];
        if (is_suitable(*server)) {
            result.push_back(server);
        }
    }
    return result;
}

} // namespace borageford::policy
