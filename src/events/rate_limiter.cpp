// Limits the rate of log lines with one token bucket for each kind of event.
#include "events/rate_limiter.hpp"

#include <utility>

namespace borageford::events {

namespace {

/// The bucket's size: a kind may write this many seconds' worth of its rate at once.
constexpr double burst_seconds = 2;

} // namespace

rate_limiter::rate_limiter(policy::time_point now) {
    for (const auto& description : event_descriptions()) {
        const double rate = description.lines_per_second;
        m_kinds.push_back({policy::token_bucket(rate, rate * burst_seconds, now), 0});
    }
}

std::optional<std::uint64_t> rate_limiter::admit(event_kind kind, policy::time_point now) {
    auto& state = m_kinds.at(static_cast<std::size_t>(kind));
    if (!state.bucket.try_take(1, now)) {
        ++state.left_out;
        return std::nullopt;
    }
    return std::exchange(state.left_out, 0);
}

} // namespace borageford::events
