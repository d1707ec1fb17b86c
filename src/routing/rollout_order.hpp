// An operator's order to move a service to another version of its software.
#pragma once

#include <chrono>
#include <string>

namespace borageford::routing {

/// Servers of the new version are started beside the old ones.
struct rollout_order {
    std::string service;
    std::string to;                        ///< the new version
    std::chrono::milliseconds duration{0}; ///< within which the operator wants it done
};

} // namespace borageford::routing
