// Decides whether a backend server may get requests, by the outcomes of its recent requests.
#pragma once

#include "policy/failure_rate.hpp"
#include "policy/slot_request.hpp"

#include <chrono>

namespace borageford::policy {

/// A server that fails requests often fails them quickly, so it has free slots most of the time. A scheduler
/// that only looks at free slots sends it more and more requests, until a few crashed servers fail nearly all
/// requests of a service. Therefore a server that failed gets no requests during a cooldown, whose length
/// doubles with each further failure. After the cooldown, it gets one probe request at a time until one
/// succeeds.
///
/// Health checks aren't used: each one occupies a slot, and a server can pass them and still fail requests,
/// or the other way round.
class server_health {
public:
    /// What may be sent to the server now.
    enum class availability {
        full,  ///< as many requests as it has slots for
        probe, ///< one request at a time, until one succeeds
        none   ///< nothing, because its cooldown isn't over
    };

    /// What may be sent to the server at `now`.
    [[nodiscard]] availability availability_at(time_point now) const;

    /// The effect of a request's outcome.
    enum class change {
        none,
        cooldown_started,
        recovered,     ///< it is healthy again after a cooldown
        failing_began, ///< it loses many of its requests, see failure_rate::is_high()
        failing_ended
    };

    /// Records the outcome of a request.
    change record(slot_outcome outcome, time_point now);

    /// Takes over a cooldown that another process observed: the time of the server's last failure, the end of
    /// the cooldown, and the number of cooldowns since its last success. Has no effect if `cooldowns` is 0,
    /// or if a request succeeded here after that failure.
    void adopt(time_point failed, time_point cooldown_until, unsigned cooldowns) noexcept;

    /// Time of the last failed request; time_point::min() if none has failed.
    [[nodiscard]] time_point last_failure() const noexcept { return m_last_failure; }
    /// Number of cooldowns since the last successful request.
    [[nodiscard]] unsigned cooldowns() const noexcept { return m_cooldowns; }
    /// End of the current or last cooldown; time_point::min() if there was none.
    [[nodiscard]] time_point cooldown_until() const noexcept { return m_cooldown_until; }
    /// Number of failures since the last successful request.
    [[nodiscard]] unsigned failures_in_row() const noexcept { return m_failures_in_row; }

    /// How many of its recent requests were lost.
    [[nodiscard]] const failure_rate& failures() const noexcept { return m_failures; }

private:
    change record_success(time_point now);
    change record_failure(bool is_unreachable, time_point now);
    change update_failing(time_point now);

    failure_rate m_failures;
    bool m_is_failing = false; ///< as last reported by update_failing()
    unsigned m_failures_in_row = 0;
    unsigned m_cooldowns = 0; ///< cooldowns since the last success
    time_point m_cooldown_until = time_point::min();
    time_point m_last_success = time_point::min();
    time_point m_last_failure = time_point::min();
    bool m_is_probing = false; ///< no request has succeeded since the last cooldown began
};

} // namespace borageford::policy
