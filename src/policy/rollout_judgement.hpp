// Whether a new version of a service's software is worse than the one before it.
#pragma once

#include "policy/time.hpp"

#include <cstddef>

namespace borageford::policy {

/// What became of one request at a server.
struct version_answer {
    bool has_failed = false;
    duration time{}; ///< to its first event, or to its end where there are none
};

/// Compares the new version's answers with those of the former one in the same minutes, so that a burst or a
/// service that fails a part of its requests by itself doesn't condemn it. Each answer moves a sum by how
/// much likelier it is of a version that is worse than of one that isn't; the sum is never below zero, so
/// that a version that turns bad after a good beginning is seen as soon as one that is bad from the start.
class rollout_judgement {
public:
    void record_former(const version_answer& answer);
    void record_next(const version_answer& answer);

    /// Answers of the new version that were judged.
    [[nodiscard]] std::size_t seen() const noexcept { return m_next; }
    [[nodiscard]] std::size_t bad() const noexcept { return m_next_bad; }
    [[nodiscard]] bool is_bad() const noexcept { return m_suspicion >= certain; }
    /// Nothing speaks against it, and enough answers were seen.
    [[nodiscard]] bool is_good() const noexcept { return m_next >= enough && m_suspicion < slight; }

private:
    /// Of the sum: at a thousand to one a good version is hardly ever condemned within some thousand answers.
    static constexpr double certain = 8;
    static constexpr double slight = 2;
    static constexpr std::size_t enough = 60;

    [[nodiscard]] bool is_slow(const version_answer& answer) const;
    [[nodiscard]] double former_share() const;

    std::size_t m_former = 0;
    std::size_t m_former_bad = 0;
    std::size_t m_former_timed = 0;
    double m_former_seconds = 0; ///< of all timed ones
    std::size_t m_next = 0;
    std::size_t m_next_bad = 0;
    double m_suspicion = 0;
};

} // namespace borageford::policy
