// The closed list of what a gateway's log tells. docs/LOGS.md shows the same table; a test holds the two
// together.
#pragma once

#include "base/log.hpp"

#include <cstdint>
#include <span>
#include <string_view>

namespace borageford::events {

enum class event_kind : std::uint8_t {
    // The process.
    started,
    settings_reloaded,
    settings_refused,
    stop_requested,
    stopped,

    // What it depends on.
    store_lost,
    store_regained,
    store_era_changed,
    peer_asked,
    peer_failed,
    slot_source_changed,
    member_attached,
    member_lost,

    // What it believes.
    configuration_in_force,
    configuration_unreadable,
    rollout_ordered,
    rollout_withdrawn,
    rollout_moved,
    rollout_not_recorded,
    backend_ready,
    backend_restarted,
    backend_draining,
    backend_held_back,
    backend_missed,
    backend_gone,
    backend_unreadable,
    backend_resting,
    backend_recovered,

    // Requests, where their callers are.
    request_malformed,
    request_placed,
    request_try_failed,
    request_answered,
    request_refused,
    request_cut,
    request_abandoned,

    // Requests, where slots are given out.
    slot_refused,
};

/// One row of the table.
struct event_description {
    event_kind kind;
    std::string_view name;
    log::level level;
    /// Lines of this kind a second at most; what is over it is counted and told with the next line.
    double lines_per_second;
    std::string_view meaning;
    std::string_view fields; ///< names, separated by blanks
};

/// All rows, in the order of the enumeration.
[[nodiscard]] std::span<const event_description> event_descriptions() noexcept;
[[nodiscard]] const event_description& describe(event_kind kind) noexcept;

} // namespace borageford::events
