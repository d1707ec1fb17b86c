// The course of one roll-out: from a few requests for the new version to all, or back to none.
#pragma once

#include "policy/rollout_judgement.hpp"
#include "policy/time.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace borageford::policy {

enum class rollout_phase : std::uint8_t {
    waiting,   ///< nobody knows yet what was decided before, or this process decides nothing
    probing,   ///< the new version gets a small share and is judged
    finishing, ///< it gets everything new; what the former version works on ends
    completed, ///< the former version gets nothing any more
    rolled_back
};

[[nodiscard]] std::string_view to_string(rollout_phase phase) noexcept;

/// Two promises shape it. A bad version gets a bounded share of a service's requests, so the new one never
/// gets more than a small share until it is judged good. And at the end the former servers stop without a
/// word, so all that they work on has ended before.
class rollout_course {
public:
    rollout_course(std::string to, duration length, time_point now)
        : m_to(std::move(to)), m_begin(now), m_length(length) {}

    [[nodiscard]] const std::string& to() const noexcept { return m_to; }
    [[nodiscard]] rollout_phase phase() const noexcept { return m_phase; }
    [[nodiscard]] const rollout_judgement& judgement() const noexcept { return m_judgement; }
    [[nodiscard]] bool is_over() const noexcept { return m_phase >= rollout_phase::completed; }
    [[nodiscard]] time_point end() const noexcept { return m_begin + m_length; }

    /// This process decides, and no final word stands in the store.
    void begin() noexcept;
    /// Another process decides.
    void pause() noexcept;
    /// The store has a final word.
    void adopt(rollout_phase final_word) noexcept { m_phase = final_word; }

    /// A request was given to a server of one or the other version.
    void record_grant(bool is_next) noexcept;
    void record_answer(bool is_next, const version_answer& answer);
    /// Whether the new version may be given one more request now.
    [[nodiscard]] bool has_room_for_next() const noexcept;

    /// Goes on to the next phase where it is time. `is_former_idle`: the former version works on nothing.
    void advance(bool is_former_idle, time_point now);

private:
    /// Half of what is allowed, since who decides may change on the way and count anew.
    static constexpr double probing_share = 0.05;
    /// Of the time that the operator gives: the rest is for what the former version still works on.
    static constexpr double judged_after = 0.4;

    std::string m_to;
    time_point m_begin;
    duration m_length;
    rollout_phase m_phase = rollout_phase::waiting;
    rollout_judgement m_judgement;
    std::size_t m_granted = 0; ///< to both versions
    std::size_t m_granted_next = 0;
};

} // namespace borageford::policy
