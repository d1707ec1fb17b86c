// Implementation of kept_rooms.
#include "policy/kept_rooms.hpp"

namespace borageford::policy {

namespace {

/// Part of its target that a request waits before room is kept for it. The rest of the time until it counts
/// as late is left for the requests to end that run at the engine.
constexpr double wait_before_room_is_kept = 0.2;

} // namespace

bool kept_rooms::is_due(const slot_request& request, time_point now) const {
    return now - request.arrived >= from_seconds(to_seconds(request.target) * wait_before_room_is_kept) &&
           !m_rooms.contains(request.service);
}

slot_server* kept_rooms::choose(const slot_request& request, double tokens, slot_servers all,
                                time_point now) {
    slot_server* best = nullptr;
    for (auto* server : all) {
        const bool takes_work = server->fits(request) && server->memory.can_hold(tokens) &&
                                !server->is_rate_blocked && !server->backoff.is_active(request.member, now) &&
                                server->health.availability_at(now) == server_health::availability::full;
        if (takes_work && (best == nullptr || server->memory.free() > best->memory.free())) {
            best = server;
        }
    }
    return best;
}

} // namespace borageford::policy
