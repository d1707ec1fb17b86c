// How soon one backend server has a slot free, learned from how long requests stayed there.
#pragma once

#include "policy/time.hpp"

namespace borageford::policy {

/// A server works on as many requests as it has slots; what it is given beyond that waits inside it for one
/// of them to end. Where a request takes two seconds on average, the second one over waits for half a second,
/// and no first event of a short prompt is in time after that.
class slot_turnover {
public:
    /// A request was there for so long, beside so many others.
    void learn(duration busy, unsigned outstanding) noexcept;

    /// Takes another process's word, as long as nothing is known here.
    void adopt(double seconds_between_ends) noexcept;

    /// From the end of one request to that of the next; zero while nothing is known.
    [[nodiscard]] duration between_ends() const noexcept { return from_seconds(m_seconds_between_ends); }

    /// How long one more request would wait for a slot.
    [[nodiscard]] duration wait(unsigned outstanding, unsigned slots) const noexcept;

private:
    double m_seconds_between_ends = 0; ///< moving average; 0 while nothing is known
};

} // namespace borageford::policy
