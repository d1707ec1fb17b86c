// What a slot_broker asks its owner, and what it reports to it.
#pragma once

#include "coordination/server_table_access.hpp"
#include "policy/crash_ledger.hpp"
#include "policy/departure_table.hpp"
#include "policy/rate_limit_table.hpp"
#include "policy/server_retry_budget.hpp"
#include "policy/slot_scheduler.hpp"
#include "store/position.hpp"

#include <boost/asio/ip/address.hpp>

#include <chrono>
#include <cstdint>
#include <functional>

namespace borageford::coordination {

/// Versions of the configuration and of the table of backend servers that a process has, as reported in
/// member_status.
struct broker_versions {
    std::uint64_t configuration = 0; ///< version of the configuration
    store::position backends;        ///< the last known change to the table of backend servers
    /// The value of member_status::is_in_touch.
    bool is_in_touch = false;
    /// When the store last confirmed each of the two, in ms of the store's clock in the era of
    /// `backends`; 0: not known. See policy::confirmation.
    std::uint64_t configuration_confirmed = 0;
    std::uint64_t backends_confirmed = 0;
    std::chrono::milliseconds unbroken{0}; ///< for how long the store has answered without interruption
};

/// Callbacks to the owner of the broker.
struct broker_observers {
    /// Returns the versions that this process has, for the status that it sends.
    std::function<broker_versions()> read_versions;
    /// A message from a member arrived, with the versions that the member has.
    std::function<void(const boost::asio::ip::address&, const broker_versions&)> on_member_versions;
    /// While this process grants slots: the cooldown of a server began, or the server recovered.
    std::function<void(const policy::slot_scheduler::health_change&)> on_health_change;
    /// This process granted a slot of the server, to its own request or to another member's.
    std::function<void(policy::server_key)> on_grant = [](policy::server_key) {
    };
    /// A request ended and no longer occupies a slot that this process had granted.
    std::function<void(const policy::slot_release&)> on_release = [](const policy::slot_release&) {
    };
    /// The rate limit of a server has changed, as far as this process knows.
    std::function<void(const policy::rate_limit_table::change&)> on_rate_limit =
        [](const policy::rate_limit_table::change&) {
        };
    /// A server said in an answer that it leaves; it gets no more slots.
    std::function<void(const policy::departure&)> on_departure = [](const policy::departure&) {
    };
    /// A server crashed while it may have run a request of some gateway: a mark is new here.
    std::function<void(const policy::crash_mark&, policy::crash_ledger::change)> on_crash_mark =
        [](const policy::crash_mark&, policy::crash_ledger::change) {
        };
    /// Such marks became void.
    std::function<void(const policy::crash_clearance&)> on_crash_clearance =
        [](const policy::crash_clearance&) {
        };
    /// The retries of a service that this process has granted and may grant. Called about once a second for
    /// each service, and with `has_run_out` when a retry was refused, once in a window.
    std::function<void(policy::service_key, const policy::server_retry_budget::use&, bool has_run_out)>
        on_retry_use = [](policy::service_key, const policy::server_retry_budget::use&, bool) {
        };
    /// This process granted the last slot that the rate limit of a server allows for now.
    std::function<void(policy::server_key)> on_rate_limit_used_up = [](policy::server_key) {
    };
    /// What became of the returns of callers that this process refused, since the last call.
    std::function<void(const policy::return_counts&)> on_returns = [](const policy::return_counts&) {
    };
    server_table_access server_table = {};
    /// While this process grants slots: an engine seems to have less memory than it was said to have.
    std::function<void(const policy::slot_scheduler::memory_overflow&)> on_memory_overflow =
        [](const policy::slot_scheduler::memory_overflow&) {
        };
};

} // namespace borageford::coordination
