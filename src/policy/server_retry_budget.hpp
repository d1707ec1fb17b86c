// Limits how often requests are sent to a second backend server, so that retries don't overload a service
// that is already failing. Used by gateways, as part of granting slots; entries use retry_budget.
#pragma once

#include "policy/slot_request.hpp"

#include <deque>
#include <unordered_map>
#include <utility>
#include <vector>

namespace borageford::policy {

/// Limits of the retries of one service in a time window.
struct server_retry_limits {
    double ratio = 0.1;  ///< retries in a window, as a fraction of the requests in it
    double reserve = 10; ///< retries allowed in a window in addition to the ratio
    duration window = std::chrono::seconds(10);
};

/// Counts requests and retries by service in a sliding window.
///
/// Invariant: in every window, the retries of a service don't exceed ratio x requests + reserve x share.
class server_retry_budget {
public:
    explicit server_retry_budget(server_retry_limits limits) : m_limits(limits) {}

    /// Sets the fraction of the reserve that this process may use.
    void set_share(double share) noexcept { m_share = share; }

    /// Counts a request that is sent for the first time.
    void count_request(service_key service, time_point now);
    /// Retries in a window, and how many are allowed in it.
    struct use {
        double retries = 0;
        double allowed = 0;
    };
    /// The retries in the window that ends now.
    [[nodiscard]] use current_use(service_key service, time_point now);
    /// Counts a retry and returns true if the budget allows one more.
    [[nodiscard]] bool try_acquire(service_key service, time_point now);

    /// The services whose requests this process has counted.
    [[nodiscard]] std::vector<service_key> services() const;
    /// Returns the services whose budget has run out since the last call: a retry was refused, and the one
    /// before it wasn't.
    [[nodiscard]] std::vector<service_key> take_used_up() { return std::exchange(m_used_up, {}); }

private:
    /// Counts for one slice of the window.
    struct slice {
        time_point begin;
        unsigned requests = 0;
        unsigned retries = 0;
    };
    struct history {
        std::deque<slice> slices; ///< oldest first
        bool is_used_up = false;  ///< the last retry was refused
    };

    slice& current(history& of, time_point now) const;
    void forget_old(history& of, time_point now) const;

    server_retry_limits m_limits;
    double m_share = 1;
    std::unordered_map<service_key, history> m_services;
    std::vector<service_key> m_used_up; ///< returned by take_used_up()
};

} // namespace borageford::policy
