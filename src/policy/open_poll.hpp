// The times of one poll of the store: when it was sent, last repeated, and by when it should have been
// answered.
#pragma once

#include "policy/time.hpp"

#include <algorithm>

namespace borageford::policy {

/// A poll that the store hasn't answered yet. It may be sent several times; the first answer ends it.
class open_poll {
public:
    explicit open_poll(time_point now) noexcept : m_started_at(now), m_sent_at(now) {}

    /// The poll was sent, for the first time or again; the store should answer within `answer_limit`.
    void record_sent(time_point now, duration answer_limit) noexcept {
        m_sent_at = now;
        m_answer_due = std::min(m_answer_due, now + answer_limit);
    }

    /// Time since the poll was first sent.
    [[nodiscard]] duration age(time_point now) const noexcept { return now - m_started_at; }
    /// Time since the poll was last sent.
    [[nodiscard]] duration time_since_sent(time_point now) const noexcept { return now - m_sent_at; }
    /// Whether one of the calls should have been answered by now. A store that would have to answer at once
    /// and doesn't is unresponsive.
    [[nodiscard]] bool is_overdue(time_point now) const noexcept { return now >= m_answer_due; }

private:
    time_point m_started_at;
    time_point m_sent_at;
    time_point m_answer_due = time_point::max(); ///< the earliest of all calls
};

} // namespace borageford::policy
