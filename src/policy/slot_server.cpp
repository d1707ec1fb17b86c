// Implements slot_server: combines the estimates of one server to predict when a request would begin and end
// there.
#include "policy/slot_server.hpp"

#include <algorithm>
#include <chrono>

namespace borageford::policy {

namespace {

/// Factor on the answer length that callers state. These guesses are right at the median only. With a larger
/// margin, answers that a fast server would finish in time would count as too long for every server.
constexpr double length_margin = 1.2;

/// A server whose slots come free at shorter intervals than this has no slots reserved for higher tiers,
/// since they soon find a free one anyway. On a service that isn't a model engine, reserved slots would stand
/// empty while its calls are refused. Engines, whose answers take about a second, have much longer intervals.
constexpr std::chrono::milliseconds fast_turnover{20};

/// A reported failure that is older than this is ignored, since it says nothing about the server's present
/// state: cooldowns are shorter.
constexpr std::chrono::seconds max_reported_failure_age{5};

/// Updates the estimates of the time to the first event and of the time per output token. They apply
/// whichever process granted the slot.
void learn_speed(slot_server& server, const slot_release& ended, double prompt) {
    if (ended.first_event > duration::zero()) {
        server.first_event.learn(prompt, ended.first_event);
        server.token_time.learn(ended.output, ended.busy - ended.first_event);
    }
}

} // namespace

duration slot_server::expect_first_event(const slot_request& request, time_point now) const {
    const auto wait = std::max(prompts_ahead.wait(now), turnover.wait(outstanding, slots));
    return wait + first_event.expect(request.cost.prompt);
}

duration slot_server::expect_overrun(const slot_request& request, duration until_first_event,
                                     time_point now) const {
    const auto remaining = token_time.expect(request.cost.output * length_margin);
    return std::max(duration::zero(), now + until_first_event + remaining - request.deadline);
}

duration slot_server::rate_wait(time_point now) const {
    return rate_limit.has_value() ? rate_limit->wait(now) : duration::zero();
}

bool slot_server::has_fast_turnover() const {
    const auto interval = turnover.between_ends();
    return interval > duration::zero() && interval <= fast_turnover;
}

bool slot_server::has_free_slot(double share) const {
    return outstanding < std::max(1.0, slots * share);
}

void slot_server::learn(const slot_release& ended, double prompt, prompt_backlog::mark read_mark,
                        time_point now) {
    if (ended.outcome == slot_outcome::served) {
        turnover.learn(ended.busy, outstanding);
    }
    learn_speed(*this, ended, prompt);
    if (ended.first_event > duration::zero()) {
        prompts_ahead.record_processed(read_mark, now - (ended.busy - ended.first_event));
    }
}

void slot_server::observe(const slot_release& ended, double prompt) {
    if (ended.outcome == slot_outcome::served) {
        // The number of requests that ran at the same time isn't known here. All slots are assumed to have
        // been in use, as the turnover is only needed for a full server.
        turnover.learn(ended.busy, slots);
    }
    learn_speed(*this, ended, prompt);
}

server_report slot_server::report(time_point now) const {
    server_report result;
    result.server = key;
    if (health.last_failure() != time_point::min()) {
        result.failed_ago = now - health.last_failure();
    }
    if (health.cooldown_until() > now) {
        result.cooldown_left = health.cooldown_until() - now;
    }
    result.rests = health.cooldowns();
    result.first_event_ms = first_event.fixed_ms();
    result.first_event_ms_per_token = first_event.ms_per_token();
    result.first_events = first_event.samples();
    result.seconds_per_token = token_time.seconds_per_token();
    result.seconds_between_ends = to_seconds(turnover.between_ends());
    return result;
}

void slot_server::adopt(const server_report& reported, time_point now) {
    if (reported.failed_ago <= max_reported_failure_age) {
        health.adopt(now - reported.failed_ago, now + reported.cooldown_left, reported.rests);
    }
    first_event.adopt(reported.first_event_ms, reported.first_event_ms_per_token, reported.first_events);
    token_time.adopt(reported.seconds_per_token);
    turnover.adopt(reported.seconds_between_ends);
}

bool has_failed(const slot_request& request, server_key server) {
    return std::ranges::find(request.avoided, server) != request.avoided.end();
}

} // namespace borageford::policy
