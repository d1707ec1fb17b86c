// When to ask for the fate of a started dispatch whose connection was lost, and when to give up.
#pragma once

#include <chrono>
#include <optional>

namespace borageford::entry {

/// Times are the caller's. Questions come further and further apart, up to a second.
class fate_inquiry {
public:
    using clock = std::chrono::steady_clock;

    explicit fate_inquiry(clock::duration limit) : m_limit(limit) {}

    /// The connection is lost, for the first time or again. Returns false when the fate has been asked for
    /// long enough.
    [[nodiscard]] bool note_loss(clock::time_point now);

    /// The question is being asked; until the next loss nothing is due.
    void note_question() noexcept { m_ask_at.reset(); }

    /// The fate is known, or another dispatch has begun.
    void settle() noexcept;

    /// When to ask next; nothing while nothing is lost.
    [[nodiscard]] std::optional<clock::time_point> next_question() const noexcept { return m_ask_at; }

private:
    clock::duration m_limit;
    std::optional<clock::time_point> m_lost_since;
    std::optional<clock::time_point> m_ask_at;
    clock::duration m_delay{};
};

} // namespace borageford::entry
