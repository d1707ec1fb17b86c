// A rate over the last second or so, from single events.
#pragma once

#include "policy/time.hpp"

namespace borageford::policy {

class flow_meter {
public:
    void count(time_point now) noexcept;
    /// Events a second, those longer ago counting less.
    [[nodiscard]] double per_second(time_point now) const noexcept;

private:
    [[nodiscard]] double decayed(time_point now) const noexcept;

    double m_level = 0;
    time_point m_updated = time_point::min();
};

} // namespace borageford::policy
