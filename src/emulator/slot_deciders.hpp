// The schedulers of a trial, in each of the layouts that decide about slots.
#pragma once

#include "emulator/policy_trial.hpp"
#include "policy/random_sequence.hpp"
#include "policy/slot_scheduler.hpp"

#include <cstddef>
#include <queue>
#include <unordered_map>
#include <vector>

namespace borageford::emulator {

class slot_deciders {
public:
    static constexpr policy::service_key service = 1;
    [[nodiscard]] static policy::server_key key_of(std::size_t engine) { return engine + 1; }

    explicit slot_deciders(const trial_options& options);

    void add(const policy::slot_request& request, time_point now);
    void withdraw(policy::slot_ticket ticket);
    void release(const policy::slot_release& ended, time_point now);
    [[nodiscard]] std::vector<policy::slot_grant> grant(time_point now);
    [[nodiscard]] std::vector<policy::slot_refusal> take_refusals();

private:
    /// What one decider will hear of another's doings.
    struct news {
        time_point at;
        std::size_t from = 0;
        policy::slot_ticket ticket = 0;
        policy::server_key server = 0;
        bool has_ended = false;
    };

    [[nodiscard]] std::vector<std::size_t> choose_deciders();
    void tell_others(std::size_t from, policy::slot_ticket ticket, policy::server_key server, bool has_ended,
                     time_point now);
    void hear_news(time_point now);

    slot_layout m_layout;
    duration m_told_after;
    std::vector<policy::slot_scheduler> m_schedulers;
    policy::random_sequence m_random{1};
    /// Where a ticket waits; the one that granted it, once it was.
    std::unordered_map<policy::slot_ticket, std::vector<std::size_t>> m_places;
    std::queue<news> m_news;
};

} // namespace borageford::emulator
