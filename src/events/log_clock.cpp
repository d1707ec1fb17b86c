// Computes the time of log lines from one reading of the system clock and the steady clock's progress since.
#include "events/log_clock.hpp"

#include <array>
#include <ctime>

namespace borageford::events {

namespace {

using std::chrono::milliseconds;

/// Smaller differences are no step: clocks drift, and the two clocks aren't read at the same instant.
constexpr milliseconds least_step{100};

} // namespace

log_clock::wall_time log_clock::time(steady_time now) const noexcept {
    return m_started + std::chrono::duration_cast<wall_time::duration>(now - m_at);
}

milliseconds log_clock::step(wall_time wall, steady_time now) const noexcept {
    const auto ahead = std::chrono::duration_cast<milliseconds>(wall - time(now));
    return std::chrono::abs(ahead) < least_step ? milliseconds(0) : ahead;
}

std::string format_log_time(log_clock::wall_time time) {
    const auto since_epoch = std::chrono::duration_cast<std::chrono::microseconds>(time.time_since_epoch());
    const std::time_t seconds = std::chrono::system_clock::to_time_t(time);
    std::tm parts{};
    ::gmtime_r(&seconds, &parts);
    std::array<char, 40> text{};
    const auto length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S.", &parts);
    auto micros = std::to_string(since_epoch.count() % 1'000'000);
    micros.insert(0, 6 - micros.size(), '0');
    return std::string(text.data(), length) + micros + "Z";
}

} // namespace borageford::events
