// Implements choose_server(): chooses the server with the smallest expected overrun of the caller's deadline,
// and among servers with equal overruns the one with the earliest expected first event. A server may be
// chosen although its answer is expected to exceed the deadline.
#include "policy/slot_choice.hpp"

#include <algorithm>
#include <chrono>
#include <ranges>
#include <tuple>

namespace borageford::policy {

namespace {

/// While a request can wait for a better server, it isn't sent to one where its answer is expected to exceed
/// the deadline by this much more than on the best server.
constexpr std::chrono::milliseconds tolerated_overrun{1500};
/// Bounds the wait for a server's rate limit in sums of durations. Longer than any deadline.
constexpr std::chrono::hours max_considered_wait{1};
/// A server in the request's own failure domain is preferred to a server elsewhere that is expected to send
/// the first event earlier by at most this part of the request's target. That is less than a caller notices,
/// and less than the difference between slow and fast engines. Traffic between failure domains is charged by
/// the byte, and prompts are long.
constexpr double target_share_for_near = 0.05;

bool is_failing(const slot_server& server, time_point now) {
    return server.health.failures().is_high(now);
}

/// Whether the server is only chosen while no other one is expected to serve the request as well: it loses
/// many of its requests. While there are such servers, half of the slots of the others are left to requests
/// that are lost for good when a server loses them. Those of the lowest tier don't count: they often take the
/// longest, and would soon occupy all of these slots.
bool is_second_choice(const slot_request& request, const slot_server& server,
                      const slot_choice_terms& terms) {
    const bool leaves_room = request.may_repeat || terms.is_lowest;
    return is_failing(server, terms.now) || (leaves_room && server.outstanding * 2 >= server.slots);
}

/// Whether any server that hasn't failed this request takes work, even if it is busy, and its rate limit
/// allows a request. If none does, it is better to send the request to a server that failed it than to none.
bool has_fresh_server(const slot_request& request, const slot_choice_terms& terms) {
    return std::ranges::any_of(terms.all, [&](const auto* server) {
        return server->fits(request) && !has_failed(request, server->key) && !server->is_rate_blocked &&
               !server->backoff.is_active(request.member, terms.now) &&
               server->health.availability_at(terms.now) != server_health::availability::none;
    });
}

/// The largest expected overrun (time past the deadline) with which a server is accepted: that of the best
/// considered server of the service, busy or not, plus `tolerated_overrun`. No limit for a request in the
/// queue of late requests.
duration max_accepted_overrun(const slot_request& request, const slot_choice_terms& terms) {
    if (!terms.is_in_time || terms.all.empty()) {
        return duration::max();
    }
    auto smallest = duration::max() - tolerated_overrun;
    for (const auto* server : terms.all | std::views::take(max_considered_servers)) {
        if (!server->fits(request) || server->backoff.is_active(request.member, terms.now)) {
            continue;
        }
        const auto wait = std::min<duration>(server->rate_wait(terms.now), max_considered_wait);
        smallest = std::min(smallest, server->expect_overrun(request, wait, terms.now));
        if (smallest == duration::zero()) {
            break;
        }
    }
    return smallest + tolerated_overrun;
}

} // namespace

bool can_meet_target(const slot_request& request, slot_servers all, time_point now) {
    const auto left = request.arrived + request.target - now;
    return std::ranges::any_of(all, [&](const auto* server) {
        return server->fits(request) && !server->backoff.is_active(request.member, now) &&
               server->rate_wait(now) <= left &&
               server->rate_wait(now) + server->first_event.expect(request.cost.prompt) <= left;
    });
}

/// Among the servers with room, the one with the smallest overrun wins; among equals, the one with the
/// earliest expected first event. A request that can still meet its target is only sent to a server that is
/// fast enough for it. So long prompts wait for a fast server instead of blocking a slow one, where they
/// would stall all streams that run there.
///
/// The overrun is compared first because engines also differ by up to a factor of three in time per output
/// token. A slow engine would work on the longest answers until their deadlines and then discard them,
/// whereas a fast engine would finish many of them.
slot_server* choose_server(const slot_request& request, const slot_choice_terms& terms) {
    const bool avoids_failed = request.avoided.front() != 0 && has_fresh_server(request, terms);
    const auto left = request.arrived + request.target - terms.now;
    const auto max_overrun = max_accepted_overrun(request, terms);
    const bool has_failing =
        terms.avoids_failing && std::ranges::any_of(terms.available, [&](const auto* server) {
            return is_failing(*server, terms.now);
        });
    const auto near_bonus = from_seconds(to_seconds(request.target) * target_share_for_near);
    slot_server* best = nullptr;
    auto smallest_overrun = duration::max();
    bool is_best_second_choice = false;
    auto soonest = duration::max();
    for (auto* server : terms.available) {
        if (!server->fits(request) || server->backoff.is_active(request.member, terms.now) ||
            (avoids_failed && has_failed(request, server->key)) ||
            !server->memory.fits(terms.memory, request.ticket)) {
            continue;
        }
        const auto expected = server->expect_first_event(request, terms.now);
        const auto overrun = server->expect_overrun(request, expected, terms.now);
        if (terms.is_in_time && (expected > left || overrun > max_overrun)) {
            continue;
        }
        const bool is_near = request.domain != 0 && server->domain == request.domain;
        const auto adjusted = expected - (is_near ? near_bonus : duration::zero());
        const auto last_grant = server->last_grant;
        const bool is_second = has_failing && is_second_choice(request, *server, terms);
        if (best == nullptr ||
            std::tie(overrun, is_second, adjusted, last_grant) <
                std::tie(smallest_overrun, is_best_second_choice, soonest, best->last_grant)) {
            best = server;
            smallest_overrun = overrun;
            is_best_second_choice = is_second;
            soonest = adjusted;
        }
    }
    return best;
}

} // namespace borageford::policy
