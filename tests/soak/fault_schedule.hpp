// What goes wrong in one soak, and when: drawn from a seed, in series that overlap.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace borageford::soak {

using std::chrono::milliseconds;

enum class fault_kind : std::uint8_t {
    // Gateways, by signals.
    gateway_killed,  ///< SIGKILL, and started again when it ends
    gateway_frozen,  ///< SIGSTOP until it ends
    gateway_stopped, ///< SIGTERM, and started again when it is gone
    gateway_reloaded,
    all_gateways_killed,
    // The store.
    store_busy,
    store_over_rate,
    store_resetting,
    store_silent,
    store_slow,
    store_forgets, ///< its history: followers have to read everything again
    // The way from one gateway to the store, by a proxy.
    store_path_cut,      ///< open connections are reset, and new ones refused
    store_path_silenced, ///< open connections lose what comes back; new ones work
    // Backend servers.
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
    // The way to one backend server, by a proxy.
    server_path_reset,
    server_path_silenced,
    server_path_held, ///< bytes are kept back and delivered when it ends
    server_path_delayed,
    // The operator.
    configuration_grows,
    configuration_moves_route,
    // Backend servers again, and other programs that write into their table.
    server_restarts_in_place, ///< its connections silenced, back at once under the id that it had
    foreign_entries,          ///< beside the servers' own, and over one of them
    store_returns,            ///< away, and then back from an older copy
    last_kind = store_returns
};

[[nodiscard]] std::string_view to_string(fault_kind kind) noexcept;
/// Throws std::invalid_argument for a name that is none.
[[nodiscard]] fault_kind parse_fault_kind(std::string_view name);

struct planned_fault {
    fault_kind kind = fault_kind::gateway_killed;
    milliseconds at{0};
    milliseconds length{0};
    std::size_t target = 0; ///< a gateway or a server, where the kind has one
};

struct schedule_size {
    std::uint64_t seed = 1;
    milliseconds length{10000};
    std::size_t gateways = 3;
    std::size_t servers = 5;
    /// Only these kinds; all when empty.
    std::vector<fault_kind> kinds;
};

/// The same for the same size. In the order of their begins; each ends within the length.
[[nodiscard]] std::vector<planned_fault> draw_faults(const schedule_size& size);

} // namespace borageford::soak
