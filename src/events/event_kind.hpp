// The complete list of events that a gateway writes to its log. docs/LOGS.md shows the same table; a unit
// test fails when the two differ.
#pragma once

#include "base/log.hpp"

#include <cstdint>
#include <span>
#include <string_view>

namespace borageford::events {

/// What a log line reports. The names in the log are the same as the enumerators' names.
enum class event_kind : std::uint8_t {
    // The process itself.
    started,
    settings_reloaded,
    settings_refused,
    stop_requested,
    stopped,

    // The processes that this one depends on: the store, other gateways, the coordinator of slots.
    store_lost,
    store_regained,
    store_check_failed,
    row_unreadable,
    store_era_changed,
    peer_asked,
    peer_failed,
    slot_source_changed,
    member_attached,
    member_lost,

    // The state that this process currently assumes: configuration, roll-outs, backend servers.
    configuration_in_force,
    configuration_unreadable,
    rollout_ordered,
    rollout_withdrawn,
    rollout_moved,
    rollout_not_recorded,
    software_not_recorded,
    software_uncertain,
    backend_ready,
    backend_restarted,
    backend_draining,
    backend_held_back,
    backend_missed,
    backend_gone,
    backend_unreadable,
    backend_resting,
    backend_recovered,
    engine_memory_exceeded,
    backend_failing,
    backend_sound,
    backend_limit_named,
    backend_limit_ended,
    backend_limit_unreadable,
    backend_leaving,
    backend_backoff,
    backend_crashed,
    suspect_quarantined,
    suspect_cleared,
    answer_field_unreadable,
    answer_passed_over,

    // Requests, logged by the gateway that received them from their callers.
    request_field_unreadable,
    request_malformed,
    request_placed,
    stream_resumed,
    request_try_failed,
    request_answered,
    request_refused,
    request_cut,
    request_abandoned,
    slow_caller_cut,
    caller_turned_away,
    accept_failed,

    // Requests, logged by the process that grants slots.
    slot_refused,
    retry_budget_used_up,
};

/// The fixed properties of one kind of event.
struct event_description {
    event_kind kind;
    std::string_view name; ///< as written to the log
    log::level level;
    /// The most lines of this kind that are written per second. Further lines are dropped; the next line that
    /// is written gives their number in its field `left_out`.
    double lines_per_second;
    std::string_view meaning;
    std::string_view fields; ///< names of the fields, separated by blanks
};

/// The descriptions of all kinds, in the order of the enumeration.
[[nodiscard]] std::span<const event_description> event_descriptions() noexcept;
/// The description of one kind.
[[nodiscard]] const event_description& describe(event_kind kind) noexcept;

} // namespace borageford::events
