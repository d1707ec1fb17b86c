// Bounds how often requests are sent to a second backend server, so that a failing service isn't pressed
// further by everybody's repeats.
#pragma once

#include "policy/slot_request.hpp"

#include <deque>
#include <unordered_map>

namespace borageford::policy {

struct repeat_limits {
    double ratio = 0.1;  ///< repeats in a window, as a share of the requests in it
    double reserve = 10; ///< repeats beyond that
    duration window = std::chrono::seconds(10);
};

/// Invariant: in every window, a service's repeats are at most ratio x requests + reserve x share.
class repeat_budget {
public:
    explicit repeat_budget(repeat_limits limits) : m_limits(limits) {}

    /// The part of the reserve that this process may use.
    void set_share(double share) noexcept { m_share = share; }

    void count_request(service_key service, time_point now);
    struct use {
        double repeats = 0;
        double allowed = 0;
    };
    /// The repeats of the window that ends now.
    [[nodiscard]] use look(service_key service, time_point now);
    /// Counts a repeat if there is room for it.
    [[nodiscard]] bool try_repeat(service_key service, time_point now);

private:
    /// Counts of one slice of time.
    struct slice {
        time_point begin;
        unsigned requests = 0;
        unsigned repeats = 0;
    };
    using history = std::deque<slice>;

    slice& current(history& of, time_point now) const;
    void forget_old(history& of, time_point now) const;

    repeat_limits m_limits;
    double m_share = 1;
    std::unordered_map<service_key, history> m_services;
};

} // namespace borageford::policy
