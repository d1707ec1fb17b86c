// Which of the servers with room a request gets.
#pragma once

#include "policy/slot_server.hpp"

#include <cstddef>
#include <span>

namespace borageford::policy {

using slot_servers = std::span<slot_server* const>;

/// Servers that a choice is made among. The best of many is hardly better than the best of these; and a
/// process that looks at thousands for each waiting request never catches up after all gateways were killed.
inline constexpr std::size_t most_considered = 64;

/// Whether some server could bring the request's first event in time, free or not.
[[nodiscard]] bool can_be_in_time(const slot_request& request, slot_servers all, time_point now);

struct slot_choice_terms {
    slot_servers open;      ///< with room
    slot_servers all;       ///< of the service, busy ones too
    bool is_in_time = true; ///< it waits among those that can still be in time
    time_point now;
};

/// Null when it is better to wait.
[[nodiscard]] slot_server* choose_server(const slot_request& request, const slot_choice_terms& terms);

} // namespace borageford::policy
