// A request with everything that the configuration determines for it: route, service, workspace, deadline and
// cost.
#pragma once

#include "gateway/gateway_context.hpp"
#include "http/request_reader.hpp"
#include "policy/crash_mark.hpp"
#include "policy/slot_request.hpp"
#include "routing/routing_table.hpp"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace borageford::gateway {

/// The result of admit().
struct admitted_request {
    using clock = std::chrono::steady_clock;

    /// The configuration under which the request was admitted; keeps the objects alive that the pointers
    /// below refer to.
    std::shared_ptr<const routing::routing_table> configuration;
    const routing::route* route = nullptr;
    const routing::service* service = nullptr;
    /// Null on public routes, and if the configuration has no workspaces.
    const routing::workspace* workspace = nullptr;
    std::string id; ///< As set by the caller; empty: none.
    clock::time_point arrived;
    clock::time_point deadline; ///< From the caller or from the route's timeout, whichever is earlier.
    policy::token_cost cost;
    double units = 0; ///< Units charged to the quota of its workspace.
    /// Combined from the workspace's tier, which counts first, and the route's; 0 is the highest.
    int tier = 0;
    std::uint64_t fingerprint = 0; ///< Hash of caller, target and body.
    /// Hashes of the parts of its prompt that other requests share, each with the model.
    std::vector<std::uint64_t> shared_parts;

    /// What of the request may crash the servers that run it.
    [[nodiscard]] std::vector<policy::crash_suspect> suspects() const;

    /// Makes the request go to the service with this key; returns false if its route doesn't lead there.
    bool choose_service(policy::service_key wanted);
    /// Negative once the deadline has passed.
    [[nodiscard]] std::chrono::milliseconds time_left() const {
        return std::chrono::duration_cast<std::chrono::milliseconds>(deadline - clock::now());
    }
};

/// Looks up route, workspace and service, and derives deadline and cost. Throws request_error if there is no
/// configuration, no matching route or no valid API key.
[[nodiscard]] admitted_request admit(const gateway_context& context, const http::received_request& request,
                                     admitted_request::clock::time_point arrived);

} // namespace borageford::gateway
