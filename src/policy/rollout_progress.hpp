// The state of one roll-out of a new software version of a service: it starts with a small share of the
// requests and ends either with all of them (completed) or with none (rolled back).
#pragma once

#include "policy/canary_analysis.hpp"
#include "policy/time.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace borageford::policy {

/// Phases of a roll-out, in order.
enum class rollout_phase : std::uint8_t {
    /// This process isn't the coordinator, or hasn't yet read from the store whether the roll-out is already
    /// over. The previous version gets all requests that this process grants slots to.
    waiting,
    /// The canary phase: the new version gets a small share of the requests, and its answers are evaluated.
    /// The previous version gets all other requests.
    probing,
    /// The new version was accepted and gets all new requests, unless its answers become bad after all. The
    /// previous version gets no new requests; its running requests continue until they have ended.
    finishing,
    completed,  ///< the new version gets all requests, and the previous one has none left
    rolled_back ///< the previous version gets all requests, and the new one gets no more
};

/// The name of the phase as it is written to the event log.
[[nodiscard]] std::string_view to_string(rollout_phase phase) noexcept;

/// A roll-out guarantees two things. A bad version must only get a bounded share of the service's requests,
/// so the new version gets a small share until it has been accepted. And the operator may stop the servers of
/// the previous version as soon as the roll-out is completed, so it is only completed when these servers have
/// finished all of their requests.
class rollout_progress {
public:
    /// `to`: the new version; `length`: the time until the deadline that the operator gave for the roll-out.
    /// It counts from `now`, the time at which this process first read the order, and not from when the order
    /// was written. So it starts anew in a gateway that is restarted during the roll-out.
    rollout_progress(std::string to, duration length, time_point now)
        : m_to(std::move(to)), m_begin(now), m_length(length) {}

    /// The new version.
    [[nodiscard]] const std::string& to() const noexcept { return m_to; }
    [[nodiscard]] rollout_phase phase() const noexcept { return m_phase; }
    /// The evaluation of the new version's answers.
    [[nodiscard]] const canary_analysis& analysis() const noexcept { return m_analysis; }
    /// Whether the roll-out is completed or rolled back.
    [[nodiscard]] bool is_over() const noexcept { return m_phase >= rollout_phase::completed; }
    /// The deadline as this process counts it.
    [[nodiscard]] time_point end() const noexcept { return m_begin + m_length; }

    /// Starts the canary phase if the roll-out is waiting. To be called when this process is the coordinator
    /// and the store has no final state of this roll-out.
    void begin() noexcept;
    /// Goes back to `waiting` unless the roll-out is over. To be called when this process isn't the
    /// coordinator.
    void pause() noexcept;
    /// Sets the final phase that was read from the store.
    void adopt(rollout_phase final_phase) noexcept { m_phase = final_phase; }

    /// Records that a request was sent to a server of the new version (`is_new`) or of the previous one.
    void record_grant(bool is_new) noexcept;
    /// Records the result of a request at a server of the new version (`is_new`) or of the previous one.
    void record_answer(bool is_new, const version_answer& answer);
    /// Whether the new version may get one more request without exceeding its share in the canary phase.
    [[nodiscard]] bool can_grant_to_new_version() const noexcept;

    /// Enters the next phase if its conditions are met. `is_previous_idle`: the servers of the previous
    /// version have no running requests.
    void advance(bool is_previous_idle, time_point now);

private:
    /// The new version's share of the requests in the canary phase: half of the share that is allowed. When
    /// another process becomes coordinator during the canary phase, it starts counting from zero, and the new
    /// version can get this share once more.
    static constexpr double canary_share = 0.05;
    /// The new version can be accepted after this part of the time until the deadline. The remaining time is
    /// for the previous version's running requests to finish.
    static constexpr double earliest_acceptance = 0.4;

    std::string m_to;
    time_point m_begin;
    duration m_length;
    rollout_phase m_phase = rollout_phase::waiting;
    canary_analysis m_analysis;
    std::size_t m_granted = 0;     ///< requests sent to either version
    std::size_t m_granted_new = 0; ///< requests sent to the new version
};

} // namespace borageford::policy
