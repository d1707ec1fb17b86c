// The soonest first event, among servers that end the answer in its caller's time.
#include "policy/slot_choice.hpp"

#include <algorithm>
#include <chrono>
#include <ranges>
#include <tuple>

namespace borageford::policy {

namespace {

/// A server that overruns by so much more than the best one isn't taken while there is time to wait for a
/// better.
constexpr std::chrono::milliseconds tolerated_overrun{1500};
/// A server in the request's own failure domain is taken before one elsewhere that would begin sooner by no
/// more than this part of the request's target: less than a caller notices, and less than the difference
/// between engines of unlike speed. Bytes between failure domains are paid for, and prompts are long.
constexpr double target_share_for_near = 0.05;

/// Whether a server that hasn't failed the request takes work, busy or not. Where there is none, one that has
/// failed it is better than no answer.
bool has_fresh_server(const slot_request& request, const slot_choice_terms& terms) {
    return std::ranges::any_of(terms.all, [&](const auto* server) {
        return !has_failed(request, server->key) &&
               server->health.look(terms.now) != server_health::trust::none;
    });
}

/// A little more than on the best of some servers of the service, free or not.
duration bearable_overrun(const slot_request& request, const slot_choice_terms& terms) {
    if (!terms.is_in_time || terms.all.empty()) {
        return duration::max();
    }
    auto least = duration::max() - tolerated_overrun;
    for (const auto* server : terms.all | std::views::take(most_considered)) {
        least = std::min(least, server->expect_overrun(request, duration::zero(), terms.now));
        if (least == duration::zero()) {
            break;
        }
    }
    return least + tolerated_overrun;
}

} // namespace

bool can_be_in_time(const slot_request& request, slot_servers all, time_point now) {
    const auto left = request.arrived + request.target - now;
    return std::ranges::any_of(
        all, [&](const auto* server) { return server->first_event.expect(request.cost.prompt) <= left; });
}

/// The server that is expected to bring the first event soonest, among those with room; for a request that
/// can still be in time, only one that is fast enough. Long prompts thus wait for a fast server instead of
/// holding up a slow one, where every stream beside them would pause.
///
/// An answer that would outlast its caller's time goes where it overruns least. Engines differ threefold in
/// pace too: a slow one would hold the longest answers for all of their callers' time, and then they are
/// thrown away, while a fast one would have ended many of them.
slot_server* choose_server(const slot_request& request, const slot_choice_terms& terms) {
    const bool avoids = request.avoided.front() != 0 && has_fresh_server(request, terms);
    const auto left = request.arrived + request.target - terms.now;
    const auto bearable = bearable_overrun(request, terms);
    const auto near_bonus = from_seconds(to_seconds(request.target) * target_share_for_near);
    slot_server* best = nullptr;
    auto least_overrun = duration::max();
    auto soonest = duration::max();
    for (auto* server : terms.open) {
        if (avoids && has_failed(request, server->key)) {
            continue;
        }
        const auto expected = server->expect_first_event(request, terms.now);
        const auto overrun = server->expect_overrun(request, expected, terms.now);
        if (terms.is_in_time && (expected > left || overrun > bearable)) {
            continue;
        }
        const bool is_near = request.domain != 0 && server->domain == request.domain;
        const auto weighed = expected - (is_near ? near_bonus : duration::zero());
        const auto last_grant = server->last_grant;
        if (best == nullptr ||
            std::tie(overrun, weighed, last_grant) < std::tie(least_overrun, soonest, best->last_grant)) {
            best = server;
            least_overrun = overrun;
            soonest = weighed;
        }
    }
    return best;
}

} // namespace borageford::policy
