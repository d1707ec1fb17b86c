// An operator's order to move a service to another version of its software, and what became of it.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace borageford::routing {

/// Servers of the new version are started beside the old ones.
struct rollout_order {
    std::string service;
    std::string to;                        ///< the new version
    std::chrono::milliseconds duration{0}; ///< within which the operator wants it done
};

enum class rollout_state : std::uint8_t {
    running,
    completed,  ///< the old servers may stop at once
    rolled_back ///< the new servers may leave
};

struct rollout_status {
    std::string service;
    std::string to;
    rollout_state state = rollout_state::running;
};

} // namespace borageford::routing
