// Gives or withholds the slots of backend servers while a roll-out replaces one software version of a service
// by another.
#pragma once

#include "coordination/slot_broker.hpp"
#include "gateway/backend_directory.hpp"
#include "policy/rollout_progress.hpp"
#include "routing/backend_record.hpp"
#include "routing/rollout_order.hpp"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace borageford::gateway {

/// Applies the orders of operators to replace a service's software version. Without an order, every server
/// that accepts work has its slots. Only the coordinator advances a roll-out, and only after it has read from
/// the store that no final state was recorded before.
///
/// Until the roll-out is completed, only the coordinator grants slots of servers of the new version. It also
/// grants them to requests of other gateways, which then send these requests to the new version. A gateway
/// that grants slots from its local share because there is no coordinator grants none of the new version,
/// with one exception: after the order's deadline the new version gets slots if no server of another
/// version accepts work.
class rollout_manager {
public:
    struct observers {
        /// Returns whether this process coordinates the slots of all gateways, and has done so for a short
        /// settling time.
        std::function<bool()> is_coordinating;
        /// Records a state in the store, unless a final state of the same roll-out stands there. The state
        /// that then stands in the store is reported to apply_status().
        std::function<void(const routing::rollout_status&)> record;
    };

    rollout_manager(const backend_directory& backends, coordination::slot_broker& slots)
        : m_backends(backends), m_slots(slots) {}
    void set_observers(observers to_call) { m_observers = std::move(to_call); }

    // Input from the operator and the store.
    void set_order(const routing::rollout_order& order);
    void withdraw_order(std::string_view service);
    /// Applies the state that stands in the store after a call of observers::record.
    void apply_status(const routing::rollout_status& status);
    /// Records the outcomes of the roll-outs again, after the store was restored from an older copy and may
    /// have lost them.
    void handle_store_restore();

    /// Handles a server that accepts work, when it is added or its record changes: makes its slots available,
    /// or withholds them from new requests if a roll-out requires it.
    void update_slots(const routing::backend_record& record);
    /// Removes the slots of a server that no longer accepts work.
    void withdraw_slots(const routing::backend_record& record);
    /// Returns whether the server accepts work but its slots are withheld, because its version is being
    /// rolled out or was replaced.
    [[nodiscard]] bool is_withheld(std::string_view id) const { return m_withheld.contains(id); }

    // Grants and releases of slots seen by this process while it coordinates.
    void record_grant(policy::server_key server);
    void record_release(const policy::slot_release& ended);

    /// Advances the roll-outs. Must be called several times a second.
    void tick();

private:
    struct rollout {
        policy::rollout_progress progress;
        /// Id of the one server of the new version that may get requests now; empty: none.
        std::string canary{};
        std::string last_canary{}; ///< The last non-empty value of `canary`.
        bool is_recorded = false;  ///< Whether the running state was passed to observers::record.
        bool has_previous = false; ///< Whether servers of other versions accepted work at the last review().
        bool was_over = false;     ///< Whether the roll-out was over at the last review().
    };

    [[nodiscard]] rollout* find(std::string_view service);
    [[nodiscard]] bool should_withhold(const routing::backend_record& record);
    [[nodiscard]] bool may_resume_streams(const routing::backend_record& record) const;
    [[nodiscard]] bool has_other_versions(std::string_view service, std::string_view than) const;
    [[nodiscard]] bool is_previous_idle(std::string_view service, std::string_view to) const;
    void follow_coordination(const std::string& service, rollout& current);
    void advance(const std::string& service, rollout& current);
    void choose_canary(const std::string& service, rollout& current);
    void record_verdict(const std::string& service, const rollout& current) const;
    void report(const std::string& service, const rollout& current) const;
    void review(std::string_view service);

    const backend_directory& m_backends;
    coordination::slot_broker& m_slots;
    observers m_observers;
    std::map<std::string, rollout, std::less<>> m_rollouts; ///< Keyed by service name.
    std::set<std::string, std::less<>> m_withheld;          ///< Ids of the servers whose slots are withheld.
};

} // namespace borageford::gateway
