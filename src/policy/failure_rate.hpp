// Counts how many of a backend server's recent requests were lost there.
#pragma once

#include "policy/time.hpp"

namespace borageford::policy {

/// A server that loses some of its requests and serves the others rarely fails several in a row, so it gets
/// no cooldown (server_health). Its counts of served and of lost requests fade with time, also while it gets
/// no requests: a server that nobody uses any more because it lost requests is tried again.
class failure_rate {
public:
    void record(bool is_lost, time_point now);

    /// The share of the recent requests that were lost, 0 to 1. Close to 0 while few requests are known.
    [[nodiscard]] double share(time_point now) const;
    /// Whether the server loses so many requests that those with a choice are better sent elsewhere.
    [[nodiscard]] bool is_high(time_point now) const;

private:
    [[nodiscard]] double remainder(time_point now) const;

    double m_served = 0;
    double m_lost = 0;
    time_point m_counted = time_point::min(); ///< when both counts were last brought up to date
};

} // namespace borageford::policy
