// Notes for each server that is held back when its bucket has the next token.
#include "policy/rate_limit_schedule.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace borageford::policy {

namespace {

/// A rate limit that allows no request is examined again after this time at the earliest, and not at all if
/// it allows none for longer than the other.
constexpr std::chrono::milliseconds min_rate_wait{1};
constexpr std::chrono::hours max_rate_wait{24};

} // namespace

void rate_limit_schedule::set_limit(slot_server& server, std::optional<double> per_second, time_point now) {
    if (!per_second.has_value()) {
        server.rate_limit.reset();
    } else if (server.rate_limit.has_value()) {
        server.rate_limit->set_named(*per_second, now);
    } else {
        server.rate_limit.emplace(*per_second, m_share, now);
    }
    examine(server, now);
}

void rate_limit_schedule::apply_share(slot_server& server, time_point now) {
    if (server.rate_limit.has_value()) {
        server.rate_limit->set_share(m_share, now);
        examine(server, now);
    }
}

void rate_limit_schedule::restart(slot_server& server, time_point now) {
    if (server.rate_limit.has_value()) {
        server.rate_limit->restart(now);
        examine(server, now);
    }
}

void rate_limit_schedule::take(slot_server& server, time_point now) {
    if (!server.rate_limit.has_value()) {
        return;
    }
    server.rate_limit->take(now);
    examine(server, now);
    if (server.is_rate_blocked) {
        m_used_up.push_back(server.key);
    }
}

void rate_limit_schedule::examine(slot_server& server, time_point now) {
    server.is_rate_blocked = server.rate_limit.has_value() && !server.rate_limit->has_room(now);
    if (!server.is_rate_blocked) {
        return;
    }
    const auto wait = std::max<duration>(server.rate_limit->wait(now), min_rate_wait);
    server.rate_blocked_until = wait < max_rate_wait ? now + wait : time_point::max();
    if (wait < max_rate_wait) {
        m_waits.emplace(server.rate_blocked_until, server.key);
    }
}

std::vector<rate_limit_schedule::due_server> rate_limit_schedule::take_due(time_point now) {
    std::vector<due_server> due;
    const auto end = m_waits.upper_bound(now);
    for (auto wait = m_waits.begin(); wait != end; ++wait) {
        due.push_back({wait->second, wait->first});
    }
    m_waits.erase(m_waits.begin(), end);
    return due;
}

std::vector<server_key> rate_limit_schedule::take_used_up() {
    return std::exchange(m_used_up, {});
}

bool are_all_rate_blocked(slot_servers servers) {
    const auto is_blocked = [](const auto* server) {
        return server->is_rate_blocked;
    };
    return !servers.empty() && std::ranges::all_of(servers, is_blocked);
}

duration expect_rate_wait(slot_servers servers, std::size_t ahead, time_point now) {
    double per_second = 0;
    auto soonest = duration::max();
    for (const auto* server : servers) {
        per_second += server->rate_limit->per_second();
        soonest = std::min(soonest, server->rate_wait(now));
    }
    if (soonest == duration::max()) {
        return soonest;
    }
    return soonest + from_seconds(static_cast<double>(ahead) / per_second);
}

} // namespace borageford::policy
