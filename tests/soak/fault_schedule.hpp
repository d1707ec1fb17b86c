// Plans the faults of a soak: which fault begins when, how long it lasts and what it affects, drawn from a
// seed.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace borageford::soak {

using std::chrono::milliseconds;

/// The kinds of faults. A kind that causes a single event, such as a reload or a reset, causes it at the
/// fault's begin.
enum class fault_kind : std::uint8_t {
    // Faults of gateways, by signals.
    gateway_killed,      ///< SIGKILL; the gateway is started again at the fault's end
    gateway_frozen,      ///< SIGSTOP; SIGCONT at the fault's end
    gateway_stopped,     ///< SIGTERM; the gateway is started again when its process has ended
    gateway_reloaded,    ///< SIGHUP
    all_gateways_killed, ///< SIGKILL; all are started again at the fault's end
    // Faults of the store.
    store_busy,
    store_over_rate,
    store_resetting,
    store_silent,
    store_slow,
    store_forgets, ///< forgets its history of changes, so that gateways have to read all rows again
    // Faults of the connections between one gateway and the store, by a proxy.
    store_path_cut,      ///< open connections are reset and new ones are refused
    store_path_silenced, ///< answers on the open connections are dropped; new connections work
    // Faults of one backend server.
    server_crashed,
    server_hangs,
    server_fails,
    server_refuses,
    server_cuts_unanswered,
    server_cuts_midway,
    server_garbles,
    server_answers_twice,
    server_unframed,
    server_slow,
    server_drains,
    // Faults of the connections to one backend server, by a proxy.
    server_path_reset,
    server_path_silenced,
    server_path_held, ///< requests are held back and delivered at the fault's end
    server_path_delayed,
    // Changes by the operator.
    configuration_grows,       ///< a route is added
    configuration_moves_route, ///< the route "moving" leads to another service
    // Further faults, of backend servers, of the rows in their table, and of the store.
    server_restarts_in_place, ///< answers on open connections are dropped; the server is back at once under
                              ///< its previous id
    foreign_entries,          ///< unreadable rows in the table of servers; one replaces a server's own row
    store_returns,            ///< the store is unreachable, then restored from an older copy
    server_limits_rate,       ///< a server names a rate limit, which may rise or fall before its end
    // Faults of one backend server in some of its answers.
    server_repeats_refusals, ///< refuses requests, and sends refusals again at a later moment
    server_answers_unasked,  ///< sends refusals that name no request at later moments
    server_runs_unavailable, ///< answers 503 after a run
    last_kind = server_runs_unavailable
};

/// Versions of the schedule; each draws from all kinds of the one before it and from its own. What a version
/// draws for a seed never changes.
enum class schedule_version : std::uint8_t {
    first = 1,  ///< up to server_limits_rate
    second = 2, ///< all
    latest = second
};

/// The name of a kind on the command line.
[[nodiscard]] std::string_view to_string(fault_kind kind) noexcept;
/// The kind with this name; throws std::invalid_argument when there is none.
[[nodiscard]] fault_kind parse_fault_kind(std::string_view name);

/// One fault of the schedule.
struct planned_fault {
    fault_kind kind = fault_kind::gateway_killed;
    milliseconds at{0}; ///< begin, counted from the soak's begin
    milliseconds length{0};
    /// Index of a gateway or server, modulo their number. Kinds that affect all gateways or the store don't
    /// use it, with one exception: store_returns takes from it who writes lost rows first.
    std::size_t target = 0;
    double per_second = 0; ///< server_limits_rate: the rate limit that the server names
};

/// What a schedule is drawn for.
struct schedule_size {
    std::uint64_t seed = 1;
    milliseconds length{10000};
    std::size_t gateways = 3;
    std::size_t servers = 5;
    /// Kinds to draw from; empty: all kinds of the version.
    std::vector<fault_kind> kinds;
    schedule_version version = schedule_version::latest;
};

/// Draws the faults, ordered by their begin; each ends within the soak's length. Equal arguments give equal
/// faults. Rate limits are drawn apart from all other kinds, which are the same whether or not they are
/// drawn.
[[nodiscard]] std::vector<planned_fault> draw_faults(const schedule_size& size);

} // namespace borageford::soak
