// The difference of two clocks of Linux, of which one runs while the machine is suspended.
#include "base/suspended_time.hpp"

#include <ctime>

namespace borageford {

namespace {

std::chrono::nanoseconds read_clock(clockid_t clock) noexcept {
    timespec time{};
    static_cast<void>(clock_gettime(clock, &time)); // can't fail for these clocks
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

} // namespace

std::chrono::nanoseconds suspended_time() noexcept {
    const auto running = read_clock(CLOCK_MONOTONIC);
    return read_clock(CLOCK_BOOTTIME) - running;
}

} // namespace borageford
