// An operator's order to roll out another software version of a service, and the state of that roll-out.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace borageford::routing {

/// The order. Servers of the new version are started in addition to the old ones.
struct rollout_order {
    std::string service;
    std::string to;                        ///< the new version
    std::chrono::milliseconds duration{0}; ///< time within which the operator wants the roll-out to end
};

/// State of a roll-out, reported to the operator.
enum class rollout_state : std::uint8_t {
    running,
    completed,  ///< The new version is in use; the old servers may be stopped.
    rolled_back ///< The old version is in use again; the new servers may be stopped.
};

/// State of the roll-out of a service to version `to`.
struct rollout_status {
    std::string service;
    std::string to;
    rollout_state state = rollout_state::running;
};

} // namespace borageford::routing
