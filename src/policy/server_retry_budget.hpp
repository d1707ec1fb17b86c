// Limits how often requests are sent to a second backend server, so that retries don't overload a service
// that is already failing. Used by gateways, as part of granting slots; entries use retry_budget.
#pragma once

#include "policy/retry_knowledge.hpp"
#include "policy/retry_use.hpp"
#include "policy/retry_use_table.hpp"
#include "policy/slot_request.hpp"

#include <cstdint>
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
/// The limits hold for all processes that grant retries in one window, also when they do so one after the
/// other because a coordinator was lost. Each process takes the ratio's part of the requests that it counted
/// itself, and its share of what all others have left of the reserve; processes tell each other what they
/// have used. While a process doesn't know what was used in the last window, it takes nothing from the
/// reserve.
///
/// Invariant: in every window, the retries of a service that this process grants are at most ratio x
/// requests, and share x (reserve less the uses by others that it knows) in addition.
class server_retry_budget {
public:
    /// `source` identifies this run of the process, which started at `started`.
    explicit server_retry_budget(server_retry_limits limits, std::uint64_t source = 0,
                                 time_point started = {});

    /// Sets the fraction of the reserve that this process may use.
    void set_share(double share) noexcept { m_share = share; }
    [[nodiscard]] retry_knowledge& knowledge() noexcept { return m_knowledge; }

    /// Takes over what another process knows.
    void merge(const retry_statement& stated, time_point now);
    /// What this process knows, to be sent to another one. If there are too many uses for a message, the
    /// largest ones, without the claim to know of all.
    [[nodiscard]] retry_statement statement(time_point now);
    /// Whether this process has granted a retry since `time`.
    [[nodiscard]] bool has_granted_since(time_point time) const noexcept { return m_last_retry >= time; }

    /// Counts a request that is sent for the first time.
    void count_request(service_key service, time_point now);
    /// Retries in a window, and how many are allowed in it.
    struct use {
        double retries = 0;   ///< granted or reserved by this process
        double allowed = 0;   ///< to this process
        double by_others = 0; ///< part of the reserve that other processes have used
    };
    /// The retries in the window that ends now.
    [[nodiscard]] use current_use(service_key service, time_point now);
    /// Whether so little of the budget is used that requests may be placed at servers that are more likely to
    /// fail them.
    [[nodiscard]] bool is_ample(service_key service, time_point now);
    /// Reserves a retry and returns true if the budget allows one more. What was reserved must be recorded or
    /// cancelled later.
    [[nodiscard]] bool try_reserve(service_key service, time_point now);
    /// A reserved retry is sent now.
    void record_reserved(service_key service, time_point now);
    /// A reserved retry isn't sent.
    void cancel_reserved(service_key service);

    /// The services whose requests this process has counted.
    [[nodiscard]] std::vector<service_key> services() const;
    /// Returns the services whose budget has run out since the last call, each of them once in a window.
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
        unsigned reserved = 0;    ///< retries that wait to be sent
        time_point used_up;       ///< when it was last reported that the budget has run out
        time_point last_retry;    ///< when the last retry was granted
    };

    [[nodiscard]] duration slice_length() const;
    slice& current(history& of, time_point now) const;
    void forget_old(history& of, time_point now) const;
    [[nodiscard]] double reserve_used(const history& of) const;

    server_retry_limits m_limits;
    std::uint64_t m_source;
    double m_share = 1;
    std::unordered_map<service_key, history> m_services;
    std::vector<service_key> m_used_up; ///< returned by take_used_up()
    std::uint32_t m_revision = 0;       ///< of the last statement
    time_point m_last_retry = time_point::min();
    retry_use_table m_others;
    retry_knowledge m_knowledge;
};

} // namespace borageford::policy
