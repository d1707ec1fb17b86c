// Gives servers of a service's versions their slots while an operator moves the service from one to another.
#pragma once

#include "coordination/slot_broker.hpp"
#include "gateway/backend_directory.hpp"
#include "policy/rollout_course.hpp"
#include "routing/backend_record.hpp"
#include "routing/rollout_order.hpp"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace borageford::gateway {

/// The coordinator decides, once it has read that nothing was decided before; for all others, and while
/// nobody coordinates, the new version gets nothing. Without an order every server that takes work has its
/// slots.
class rollout_keeper {
public:
    struct observers {
        /// Whether this process gives out the slots of all gateways, and has for a moment.
        std::function<bool()> decides;
        /// A state is to stand in the store, unless a final one does; the answer comes by take_status().
        std::function<void(const routing::rollout_status&)> record;
    };

    rollout_keeper(const backend_directory& backends, coordination::slot_broker& slots)
        : m_backends(backends), m_slots(slots) {}
    void observe_with(observers to_call) { m_observers = std::move(to_call); }

    // From the operator.
    void set_order(const routing::rollout_order& order);
    void withdraw_order(std::string_view service);
    /// What stands in the store after a state was to be recorded there.
    void take_status(const routing::rollout_status& status);
    /// The store has lost what was written last: what was decided is recorded once more.
    void take_return();

    /// A server takes work, or its record changed.
    void give_slots(const routing::backend_record& record);
    /// A server takes work no more.
    void take_slots(const routing::backend_record& record);
    /// Whether the server takes work and gets none, since its version is being rolled out, or was replaced.
    [[nodiscard]] bool is_held_back(std::string_view id) const { return m_held_back.contains(id); }

    // What this process gives out and hears back while it decides.
    void note_grant(policy::server_key server);
    void note_release(const policy::slot_release& ended);

    /// To be called some times a second.
    void tick();

private:
    struct rollout {
        policy::rollout_course course;
        std::string open{};       ///< id of the one server of the new version that may get requests now
        std::string last_open{};  ///< the same when there was one last
        bool is_recorded = false; ///< that it runs
        bool has_former = false;  ///< at the last review: servers of other versions take work
    };

    [[nodiscard]] rollout* find(std::string_view service);
    [[nodiscard]] bool is_to_hold_back(const routing::backend_record& record);
    [[nodiscard]] bool has_other_versions(std::string_view service, std::string_view than) const;
    [[nodiscard]] bool is_former_idle(std::string_view service, std::string_view to) const;
    void follow_decider(const std::string& service, rollout& moving);
    void advance(const std::string& service, rollout& moving);
    void choose_open(const std::string& service, rollout& moving);
    void record_verdict(const std::string& service, const rollout& moving) const;
    void report(const std::string& service, const rollout& moving) const;
    void review(std::string_view service);

    const backend_directory& m_backends;
    coordination::slot_broker& m_slots;
    observers m_observers;
    std::map<std::string, rollout, std::less<>> m_rollouts; ///< by service
    std::set<std::string, std::less<>> m_held_back;         ///< ids
};

} // namespace borageford::gateway
