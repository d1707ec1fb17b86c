// The processes that decide about slots in a trial, for each slot_layout.
#pragma once

#include "emulator/policy_trial.hpp"
#include "policy/random_sequence.hpp"
#include "policy/slot_scheduler.hpp"

#include <cstddef>
#include <queue>
#include <unordered_map>
#include <vector>

namespace borageford::emulator {

/// Holds one policy::slot_scheduler for each deciding process ("decider"), and gives a trial the interface of
/// a single scheduler.
class slot_deciders {
public:
    /// All engines of a trial serve this one service.
    static constexpr policy::service_key service = 1;
    /// The key under which the schedulers know an engine, given its index in trial_options::engines.
    [[nodiscard]] static policy::server_key key_of(std::size_t engine) { return engine + 1; }

    explicit slot_deciders(const trial_options& options);

    /// Queues a request at the decider or deciders that the layout chooses.
    void add(const policy::slot_request& request, time_point now);
    /// Removes a waiting request.
    void withdraw(policy::slot_ticket ticket);
    /// Frees the slot of a request that has ended.
    void release(const policy::slot_release& ended, time_point now);
    /// Grants the slots that are free at `now`.
    [[nodiscard]] std::vector<policy::slot_grant> grant(time_point now);
    /// Returns the refusals since the last call. A request that was offered to two engines is refused only
    /// when both refuse it.
    [[nodiscard]] std::vector<policy::slot_refusal> take_refusals();

private:
    /// In the layout slot_layout::delayed_updates: a grant or a release that the other deciders learn of
    /// later.
    struct decision_update {
        time_point at;        ///< when the other deciders learn of it
        std::size_t from = 0; ///< the decider that made it
        policy::slot_ticket ticket = 0;
        policy::server_key server = 0;
        bool has_ended = false; ///< a release; otherwise a grant
    };

    [[nodiscard]] std::vector<std::size_t> choose_deciders();
    void publish_update(std::size_t from, policy::slot_ticket ticket, policy::server_key server,
                        bool has_ended, time_point now);
    void apply_updates(time_point now);

    slot_layout m_layout;
    duration m_update_delay;
    std::vector<policy::slot_scheduler> m_schedulers;
    policy::random_sequence m_random{1};
    /// The deciders at which a ticket waits; after a grant, only the decider that granted the slot.
    std::unordered_map<policy::slot_ticket, std::vector<std::size_t>> m_deciders_by_ticket;
    std::queue<decision_update> m_pending_updates;
};

} // namespace borageford::emulator
