// Whether a request may be sent to another backend server.
#pragma once

#include "policy/slot_request.hpp"

#include <algorithm>
#include <array>

namespace borageford::policy {

/// What became of one try.
enum class try_outcome : std::uint8_t {
    unreachable,  ///< nothing was sent: it hasn't run
    not_executed, ///< the server said that it didn't run it
    may_have_run  ///< sent, and no word of it, or an answer that failed
};

/// Invariant: a request that may not be repeated is never sent again once it may have run.
class attempt_rule {
public:
    /// `allowed_runs`: servers that may run it, at most.
    attempt_rule(bool is_repeatable, unsigned allowed_runs) noexcept
        : m_is_repeatable(is_repeatable), m_allowed_runs(allowed_runs) {}

    void record(server_key server, try_outcome outcome) noexcept {
        ++m_tries;
        m_arrivals += outcome == try_outcome::unreachable ? 0 : 1;
        m_runs += outcome == try_outcome::may_have_run ? 1 : 0;
        std::ranges::rotate(m_avoided, m_avoided.end() - 1);
        m_avoided.front() = server;
    }

    /// While nothing has run it, it may go elsewhere; after that only what may be repeated, and not more
    /// often than its route allows.
    [[nodiscard]] bool may_try_again() const noexcept {
        if (m_tries >= most_tries) {
            return false;
        }
        return m_runs == 0 || (m_is_repeatable && m_runs < m_allowed_runs);
    }

    [[nodiscard]] bool may_have_run() const noexcept { return m_runs > 0; }
    /// Servers that it has reached; each but the first counts against the retry budget.
    [[nodiscard]] unsigned arrivals() const noexcept { return m_arrivals; }
    [[nodiscard]] unsigned tries() const noexcept { return m_tries; }
    [[nodiscard]] unsigned runs() const noexcept { return m_runs; }
    /// The servers that have failed it last.
    [[nodiscard]] const std::array<server_key, slot_request::most_avoided>& avoided() const noexcept {
        return m_avoided;
    }

private:
    /// Each try costs a wait; after so many, an answer that says so serves the caller better.
    static constexpr unsigned most_tries = 5;

    bool m_is_repeatable;
    unsigned m_allowed_runs;
    unsigned m_tries = 0;
    unsigned m_arrivals = 0;
    unsigned m_runs = 0;
    std::array<server_key, slot_request::most_avoided> m_avoided{};
};

} // namespace borageford::policy
