// Plays a load of several tiers to a slot_scheduler in virtual time, and counts what the callers get.
#pragma once

#include "policy/slot_scheduler.hpp"

#include <map>
#include <vector>

namespace borageford::test {

/// The load of one tier: its rate of requests and the time that each one occupies a slot.
struct tier_load {
    int tier = 0;
    double per_second = 0;
    policy::duration slot_time{};
    policy::duration target = std::chrono::milliseconds(500);
};

/// What the callers of one tier got.
struct tier_result {
    unsigned sent = 0;
    unsigned served = 0; ///< got a slot
    unsigned prompt = 0; ///< got a slot within half of their target, so that the server can still meet it
    [[nodiscard]] double share() const { return static_cast<double>(served) / sent; }
    [[nodiscard]] double prompt_share() const { return static_cast<double>(prompt) / sent; }
};

/// Servers of one speed.
struct server_group {
    unsigned servers = 0;
    unsigned slots = 0;
    double speed = 1; ///< a request takes its slot time divided by this
};

class slot_load {
public:
    slot_load(policy::slot_scheduler_limits limits, std::vector<server_group> groups);

    /// Plays the load for some time, with evenly spaced requests.
    void run(const std::vector<tier_load>& load, policy::duration length);

    /// Replaces the scheduler by that of a new coordinator, which knows the running requests and nothing
    /// else.
    void change_coordinator();
    /// All servers of a group crash. Their requests fail.
    void lose_servers(std::size_t group);

    [[nodiscard]] const tier_result& result(int tier) { return m_results[tier]; }
    void clear_results() { m_results.clear(); }
    /// The share of all granted slot time that a tier got.
    [[nodiscard]] double slot_share(int tier);

private:
    struct started {
        policy::slot_grant grant;
        policy::duration busy{};
    };

    [[nodiscard]] policy::slot_scheduler make_scheduler() const;
    void arrive(const tier_load& tier);
    void start_granted();
    void finish_due();

    policy::slot_scheduler_limits m_limits;
    std::vector<server_group> m_groups;
    policy::slot_scheduler m_scheduler;
    policy::time_point m_now;
    policy::slot_ticket m_last_ticket = 0;
    std::map<int, double> m_due;
    std::map<policy::slot_ticket, tier_load> m_requests;
    std::map<policy::slot_ticket, policy::time_point> m_arrivals;
    std::multimap<policy::time_point, started> m_running;
    std::map<int, tier_result> m_results;
    std::map<int, policy::duration> m_granted_time;
};

} // namespace borageford::test
