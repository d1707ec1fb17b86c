// Keeps the lists of the servers of each service.
#include "policy/server_pools.hpp"

#include <optional>
#include <utility>

namespace borageford::policy {

void server_pools::insert(slot_server& server) {
    m_pools[server.service].servers.push_back(&server);
}

void server_pools::erase(slot_server& server) {
    set_has_room(server, false);
    std::erase(m_pools[server.service].servers, &server);
}

void server_pools::set_has_room(slot_server& server, bool has_room) {
    if (has_room == server.with_room_index.has_value()) {
        return;
    }
    auto& list = m_pools[server.service].with_room;
    if (has_room) {
        server.with_room_index = list.size();
        list.push_back(&server);
        return;
    }
    const auto index = *std::exchange(server.with_room_index, std::nullopt);
    if (list.back() != &server) {
        list[index] = list.back();
        list[index]->with_room_index = index;
    }
    list.pop_back();
}

slot_servers server_pools::servers_of(service_key service) const {
    const auto found = m_pools.find(service);
    return found == m_pools.end() ? slot_servers() : slot_servers(found->second.servers);
}

slot_servers server_pools::with_room(service_key service) const {
    const auto found = m_pools.find(service);
    return found == m_pools.end() ? slot_servers() : slot_servers(found->second.with_room);
}

} // namespace borageford::policy
