// The requests for which room in the memory of an engine is kept.
#pragma once

#include "policy/slot_choice.hpp"
#include "policy/slot_request.hpp"
#include "policy/slot_server.hpp"
#include "policy/time.hpp"

#include <unordered_map>
#include <vector>

namespace borageford::policy {

/// A request that is too large for the free memory of every engine would wait in vain as long as smaller ones
/// take what comes free. So room is kept for it at one engine, after it has waited for a while. Others are
/// held back at one engine of each service at most.
class kept_rooms {
public:
    struct room {
        service_key service = 0;
        slot_ticket ticket = 0;
        server_key server = 0;
    };

    /// Whether the request has waited long enough, and no room is kept at an engine of its service.
    [[nodiscard]] bool is_due(const slot_request& request, time_point now) const;
    /// Chooses the engine that probably has room soonest for a request that takes these tokens; nullptr if
    /// none takes work and is large enough.
    [[nodiscard]] static slot_server* choose(const slot_request& request, double tokens, slot_servers all,
                                             time_point now);

    void add(const room& kept) { m_rooms.emplace(kept.service, kept); }
    /// Removes and returns the rooms of which `has_ended` is true.
    template <typename Predicate>
    [[nodiscard]] std::vector<room> take_ended(const Predicate& has_ended);

private:
    std::unordered_map<service_key, room> m_rooms;
};

template <typename Predicate>
std::vector<kept_rooms::room> kept_rooms::take_ended(const Predicate& has_ended) {
    std::vector<room> result;
    std::erase_if(m_rooms, [&](const auto& entry) {
        if (!has_ended(entry.second)) {
            return false;
        }
        result.push_back(entry.second);
        return true;
    });
    return result;
}

} // namespace borageford::policy
