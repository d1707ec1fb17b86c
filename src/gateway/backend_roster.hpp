// Tracks the registrations of backend servers, as read from the store or received from another gateway, and
// keeps the backend_directory and the slots of the slot_broker in step with them.
#pragma once

#include "base/timer_service.hpp"
#include "coordination/slot_broker.hpp"
#include "gateway/backend_directory.hpp"
#include "gateway/crash_watch.hpp"
#include "gateway/deployment.hpp"
#include "gateway/removal_log.hpp"
#include "gateway/rollout_manager.hpp"
#include "policy/registration_watch.hpp"
#include "policy/server_starts.hpp"
#include "store/row.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace borageford::gateway {

/// Belongs to one thread's executor. Invariant: m_position never decreases.
class backend_roster {
public:
    /// A registration as it is exchanged between gateways.
    struct registration {
        std::string value; ///< The registration as it stands in the store; empty if it couldn't be decoded.
        store::position position; ///< Position of its last known change.
    };
    using registrations = std::map<std::string, registration, std::less<>>;

    /// `registration_life` is the time after which the store removes a registration that its server hasn't
    /// renewed.
    backend_roster(boost::asio::any_io_executor executor, timer_service& timers,
                   const deployment& current_deployment, backend_directory& backends,
                   coordination::slot_broker& slots, crash_watch& crashes, rollout_manager& rollouts,
                   std::chrono::milliseconds registration_life = std::chrono::milliseconds(4500));

    /// Starts the timer that removes overdue registrations and drives the roll-outs.
    void start();

    /// Takes a server out of use that has said in an answer that it leaves. A later registration of the same
    /// start doesn't bring it back.
    void handle_departure(policy::server_key server);

    // Input from the store.

    /// Applies a read of the whole table, of the current era or a newer one. A newer era means that the store
    /// was restored from an older copy. A page of an older era is ignored.
    void apply_page(const store::row_page& page);
    /// Applies one change of the current era.
    void apply_change(const store::row_change& change);
    /// Records that the store couldn't be reached, and that it last answered at `answered`. A registration
    /// that vanishes around an outage is retained for a while, since its server may only have been unable to
    /// renew it.
    void record_outage(std::chrono::steady_clock::time_point answered = std::chrono::steady_clock::now());
    /// Records that the store answers another gateway and has done so for `unbroken` without an interruption,
    /// so an outage seen only here doesn't explain a vanished registration.
    void record_other_connected(std::chrono::steady_clock::duration unbroken);

    /// The changes after a position, for a gateway that holds exactly the state at that position.
    struct update {
        store::position position; ///< The position that the receiver holds after applying the update.
        /// The update lists all known registrations; the receiver removes every other one.
        bool is_complete = false;
        registrations present;
        std::vector<std::string> removed; ///< Ids of removed registrations; empty if is_complete.
        /// Ids of retained registrations, whose servers are removed unless they register again soon. They are
        /// listed in every update, since a removal of this kind has no version in the store.
        std::vector<std::string> retained{};
        /// If is_complete: up to here the sender doesn't know all removals, and neither does the receiver.
        store::position removals_begin{};
    };
    /// Returns the changes after `held`. The update is complete if `held` has version 0 or is of another era,
    /// or if the removals since then are no longer remembered.
    [[nodiscard]] update changes_after(store::position held) const;
    /// Applies an update from another gateway; ignored unless it is newer than position().
    void apply_update(const update& newer);

    /// Position of the last change that is known here.
    [[nodiscard]] store::position position() const noexcept { return m_position; }
    [[nodiscard]] const registrations& all() const noexcept { return m_all; }

private:
    /// A suspect registration: it stands in an older copy of the store, but its server is known to have been
    /// removed.
    struct suspect_registration {
        registration entry;
        /// A registration that is still in the store at this time must have been renewed by its server.
        std::chrono::steady_clock::time_point until;
    };
    /// Counts what the first read of a new era showed, for the log.
    struct era_report {
        store::position previous;
        std::string_view source;
        std::size_t missing = 0;
        std::size_t stale = 0;
    };

    void begin_era(store::position first_read, std::string_view source);
    void report_era();
    [[nodiscard]] bool is_new_era(store::position seen) const;
    [[nodiscard]] bool may_be_stale(store::position known, store::position at) const;
    [[nodiscard]] bool was_removed_after(const std::string& id, store::position at) const;
    void set_aside(const std::string& id, registration entry);
    void count_stale();
    void check_suspects();

    void apply_registration(const std::string& id, const registration& received);
    void accept(const std::string& id, const registration& received);
    void handle_absent(const std::set<std::string, std::less<>>& present);
    [[nodiscard]] std::optional<routing::backend_record> read(const std::string& id, std::string_view value,
                                                              bool was_reported) const;
    void reject_row(const std::string& id, registration& known);
    void put_in_use(routing::backend_record record, store::position at);
    void withdraw(const routing::backend_record& record);
    void take_out_of_use(const std::string& id);
    void handle_restart(const routing::backend_record& record);
    void handle_missing(const std::string& id);
    void note_removal_of_unknown(const std::string& id);
    void interrupt_history(std::string_view reason);
    [[nodiscard]] bool has_drained(std::string_view id) const;
    void remove(const std::string& id, std::string_view reason);
    void tick();
    void remove_overdue();
    [[nodiscard]] std::string id_of(const store::row& row) const;

    boost::asio::any_io_executor m_executor;
    timer_service& m_timers;
    const deployment& m_deployment;
    backend_directory& m_backends;
    coordination::slot_broker& m_slots;
    crash_watch& m_crashes;
    rollout_manager& m_rollouts;
    policy::registration_watch m_watch;
    policy::server_starts m_starts;
    registrations m_all;
    store::position m_position;
    /// Position of the first read in the current era; later changes were written in this era.
    store::position m_first_read;
    std::optional<era_report> m_era_report; ///< Set while the first read of a new era is being applied.
    removal_log m_removals;
    bool m_has_read_all = false; ///< The store has sent all registrations.
    bool m_had_outage = false;   ///< The store couldn't be reached since it did so.
    std::chrono::milliseconds m_registration_life;
    /// Suspect registrations by id; none of them is in m_all.
    std::map<std::string, suspect_registration, std::less<>> m_suspects;
    timer_subscription m_timer;
};

} // namespace borageford::gateway
