// Estimates how soon a slot comes free at one backend server, learned from how long its requests took.
#pragma once

#include "policy/time.hpp"

namespace borageford::policy {

/// A server works on as many requests as it has slots, and further ones wait inside it until a running
/// request ends. For example, with four slots and requests that take two seconds, a slot comes free every
/// half second on average. A request that waits this long before its prompt is processed no longer meets its
/// target, even if the prompt is short.
class slot_turnover {
public:
    /// Records that a request took the time `busy` while `outstanding` requests, including this one, were at
    /// the server.
    void learn(duration busy, unsigned outstanding) noexcept;

    /// Takes over an interval (in seconds) that another process measured. Has no effect once a value is known
    /// here.
    void adopt(double seconds_between_ends) noexcept;

    /// The average interval between the ends of two requests; zero if unknown.
    [[nodiscard]] duration between_ends() const noexcept { return from_seconds(m_seconds_between_ends); }

    /// The expected wait for a slot of one more request at a server with `slots` slots and `outstanding`
    /// requests.
    [[nodiscard]] duration wait(unsigned outstanding, unsigned slots) const noexcept;

private:
    double m_seconds_between_ends = 0; ///< moving average; 0: unknown
};

} // namespace borageford::policy
