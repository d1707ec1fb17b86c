// Decides whether a failed request may be sent to another backend server.
#pragma once

#include "policy/slot_request.hpp"

#include <algorithm>
#include <array>

namespace borageford::policy {

/// Result of one attempt to run a request on a server.
enum class attempt_outcome : std::uint8_t {
    unreachable,  ///< The request couldn't be sent, so it hasn't run.
    not_executed, ///< The server reported that it didn't run the request.
    may_have_run  ///< The request was sent, and no answer or a failed answer came back.
};

/// History of the attempts of one request.
///
/// Invariant: a request that isn't repeatable is never sent again once it may have run.
class attempt_rule {
public:
    /// `allowed_runs`: the maximum number of servers on which a repeatable request may run.
    attempt_rule(bool is_repeatable, unsigned allowed_runs) noexcept
        : m_is_repeatable(is_repeatable), m_allowed_runs(allowed_runs) {}

    /// Records an attempt that has failed.
    void record(server_key server, attempt_outcome outcome) noexcept {
        ++m_attempts;
        m_delivered_attempts += outcome == attempt_outcome::unreachable ? 0 : 1;
        m_possible_runs += outcome == attempt_outcome::may_have_run ? 1 : 0;
        avoid(server);
    }

    /// Prefers other servers to this one, to which the request wasn't sent.
    void avoid(server_key server) noexcept {
        std::ranges::rotate(m_failed_servers, m_failed_servers.end() - 1);
        m_failed_servers.front() = server;
    }

    /// Whether another attempt is allowed. A request that certainly hasn't run may be sent again. One that
    /// may have run is sent again only if it is repeatable and has run on fewer servers than allowed.
    [[nodiscard]] bool may_retry() const noexcept {
        if (m_attempts >= max_attempts) {
            return false;
        }
        return m_possible_runs == 0 || (m_is_repeatable && m_possible_runs < m_allowed_runs);
    }

    /// Whether a further attempt is allowed even if the next server may have run the request.
    [[nodiscard]] bool may_repeat_next() const noexcept {
        return m_is_repeatable && m_possible_runs + 1 < m_allowed_runs;
    }
    /// Whether some server may have run the request.
    [[nodiscard]] bool may_have_run() const noexcept { return m_possible_runs > 0; }
    /// Attempts in which the request reached a server. Each one after the first counts against the retry
    /// budget.
    [[nodiscard]] unsigned delivered_attempts() const noexcept { return m_delivered_attempts; }
    /// All attempts, including those that reached no server.
    [[nodiscard]] unsigned attempt_count() const noexcept { return m_attempts; }
    /// Attempts in which the request may have run.
    [[nodiscard]] unsigned runs() const noexcept { return m_possible_runs; }
    /// Servers of the last failed attempts, most recent first; 0 in unused places.
    [[nodiscard]] const std::array<server_key, slot_request::max_avoided>& avoided() const noexcept {
        return m_failed_servers;
    }

private:
    /// Every attempt costs time. After this many, reporting the failure serves the caller better than another
    /// attempt.
    static constexpr unsigned max_attempts = 5;

    bool m_is_repeatable;
    unsigned m_allowed_runs;
    unsigned m_attempts = 0;
    unsigned m_delivered_attempts = 0;
    unsigned m_possible_runs = 0;
    std::array<server_key, slot_request::max_avoided> m_failed_servers{};
};

} // namespace borageford::policy
