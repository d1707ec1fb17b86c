// What a server is expected to do, from all that it has shown.
#include "policy/slot_server.hpp"

#include <algorithm>
#include <chrono>

namespace borageford::policy {

namespace {

/// Callers' guesses at the length of an answer are right at the median only. A larger margin calls answers
/// too long for every server that a fast one would have ended.
constexpr double length_margin = 1.2;

/// A server that ends requests more often than this has room for a higher tier soon enough without slots kept
/// free for it. Kept there all the same, two of six slots of a plain service, whose calls take 60 ms, stood
/// empty while a quarter of its calls were refused: on heavy days of 32 gateways 0.76 of the calls' worth was
/// earned, and 0.87 without (0.10 +- 0.01, nine pairs of played days). Engines, whose answers take a second,
/// are far above it; without slots kept free there, the heaviest days of two deployments lost 0.02.
constexpr std::chrono::milliseconds fast_turnover{20};

} // namespace

duration slot_server::expect_first_event(const slot_request& request, time_point now) const {
    const auto before = std::max(reading.wait(now), turnover.wait(outstanding, slots));
    return before + first_event.expect(request.cost.prompt);
}

duration slot_server::expect_overrun(const slot_request& request, duration until_first_event,
                                     time_point now) const {
    const auto rest = pace.expect(request.cost.output * length_margin);
    return std::max(duration::zero(), now + until_first_event + rest - request.deadline);
}

bool slot_server::has_fast_turnover() const {
    const auto between = turnover.between_ends();
    return between > duration::zero() && between <= fast_turnover;
}

bool slot_server::has_free_slot(double share) const {
    return outstanding < std::max(1.0, slots * share);
}

void slot_server::learn(const slot_release& ended, double prompt, reading_backlog::mark read_mark,
                        time_point now) {
    if (ended.outcome == slot_outcome::served) {
        turnover.learn(ended.busy, outstanding);
    }
    if (ended.first_event > duration::zero()) {
        first_event.learn(prompt, ended.first_event);
        reading.note_read(read_mark, now - (ended.busy - ended.first_event));
        pace.learn(ended.output, ended.busy - ended.first_event);
    }
}

bool has_failed(const slot_request& request, server_key server) {
    return std::ranges::find(request.avoided, server) != request.avoided.end();
}

} // namespace borageford::policy
