// How far a backend server can be trusted with work, judged by what requests met there.
#pragma once

#include "policy/slot_request.hpp"

#include <chrono>

namespace borageford::policy {

/// A server that fails answers fast, so a scheduler that looks at free slots alone gives it ever more
/// requests, until a few crashed servers take nearly all of a service. After failures a server is left alone
/// for a while, that doubles with each further one, and comes back with one request at a time.
///
/// Health checks aren't asked: they cost a slot, and a server can pass them and fail requests, or the
/// reverse.
class server_health {
public:
    /// How much may be sent to the server now.
    enum class trust {
        full,
        probe, ///< one request at a time
        none
    };

    [[nodiscard]] trust look(time_point now) const;

    /// What a request's end has changed.
    enum class change { none, rests, recovered };

    /// A request ended.
    change record(slot_outcome outcome, time_point now);

    /// What another process has met there. Its own success after that says more, and then nothing changes.
    void adopt(time_point failed, time_point rests_until, unsigned rests) noexcept;

    /// When a request failed there last; the clock's minimum when none did.
    [[nodiscard]] time_point last_failure() const noexcept { return m_last_failure; }
    /// Rests that it has taken since it served a request.
    [[nodiscard]] unsigned rests() const noexcept { return m_rests; }
    /// When its rest ends.
    [[nodiscard]] time_point rests_until() const noexcept { return m_rests_until; }
    [[nodiscard]] unsigned failures_in_row() const noexcept { return m_failures_in_row; }

    /// Share of failures among the latest requests, 0 to 1.
    [[nodiscard]] double failure_share() const noexcept { return m_failure_share; }

private:
    change record_success(time_point now);
    change record_failure(bool is_gone, time_point now);

    double m_failure_share = 0;
    unsigned m_failures_in_row = 0;
    unsigned m_rests = 0; ///< taken since the last success
    time_point m_rests_until = time_point::min();
    time_point m_last_success = time_point::min();
    time_point m_last_failure = time_point::min();
    bool m_is_probing = false;
};

} // namespace borageford::policy
