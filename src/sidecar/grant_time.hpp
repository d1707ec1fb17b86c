// How the time of a grant is stated to entries, which send it back when they ask for the fate of a dispatch.
#pragma once

#include "wire/message.hpp"

#include <chrono>
#include <cstdint>

namespace borageford::sidecar {

/// The time as milliseconds of the steady clock, rounded down.
[[nodiscard]] inline std::uint64_t to_grant_time(std::chrono::steady_clock::time_point time) {
    const auto since = std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch());
    return static_cast<std::uint64_t>(since.count());
}

/// The earliest time at which the dispatch can have been started. The time of its grant is compared with the
/// same clock that it was taken from. An entry's statement of an age may be wrong by the difference of two
/// clocks; if it is too small, a dispatch that has run and was forgotten looks as if it never had begun.
[[nodiscard]] inline std::chrono::steady_clock::time_point
earliest_start(const wire::attach_message& attach, std::chrono::steady_clock::time_point now) {
    if (attach.granted_at_ms != 0) {
        const std::chrono::milliseconds granted(static_cast<std::int64_t>(attach.granted_at_ms));
        return std::chrono::steady_clock::time_point(granted);
    }
    return now - std::chrono::milliseconds(attach.started_ms_ago);
}

} // namespace borageford::sidecar
