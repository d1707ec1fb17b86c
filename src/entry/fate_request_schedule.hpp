// Schedules the attempts to learn the fate of a started dispatch (whether it was begun, is running or has
// finished) from its sidecar after the connection was lost, and decides when to give up.
#pragma once

#include <chrono>
#include <optional>

namespace borageford::entry {

/// The delay before each request for the fate doubles with every lost connection, up to one second. The class
/// reads no clock; the current time is passed in.
class fate_request_schedule {
public:
    using clock = std::chrono::steady_clock;

    /// `limit` is the time after the first lost connection in which the fate is requested.
    explicit fate_request_schedule(clock::duration limit) : m_limit(limit) {}

    /// Records that the connection was lost, for the first time or once more, and schedules the next request.
    /// Returns false when the first loss was longer ago than the limit.
    [[nodiscard]] bool record_lost_connection(clock::time_point now);

    /// Records that the fate has been requested. No further request is due until the connection is lost
    /// again.
    void record_request() noexcept { m_next_request_time.reset(); }

    /// Ends the inquiry, because the fate is known or another dispatch has been started.
    void reset() noexcept;

    /// When to request the fate next; nothing when no request is due.
    [[nodiscard]] std::optional<clock::time_point> next_request_time() const noexcept {
        return m_next_request_time;
    }

private:
    clock::duration m_limit;
    std::optional<clock::time_point> m_lost_since;        ///< when the connection was first lost
    std::optional<clock::time_point> m_next_request_time; ///< when the next request is due
    clock::duration m_backoff_delay{};                    ///< delay before the latest scheduled request
};

} // namespace borageford::entry
