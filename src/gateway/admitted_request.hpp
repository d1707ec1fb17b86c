// What a request is, once its head has been looked up in the configuration.
#pragma once

#include "gateway/gateway_context.hpp"
#include "http/request_reader.hpp"
#include "policy/slot_request.hpp"
#include "routing/routing_table.hpp"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace borageford::gateway {

struct admitted_request {
    using clock = std::chrono::steady_clock;

    /// Keeps the version alive under which the request was admitted; what follows points into it.
    std::shared_ptr<const routing::routing_table> configuration;
    const routing::route* route = nullptr;
    const routing::service* service = nullptr;
    const routing::workspace* workspace = nullptr; ///< null on public routes
    std::string id;                                ///< as its caller named it
    clock::time_point arrived;
    clock::time_point deadline; ///< the caller's or the route's, whichever is sooner
    policy::token_cost cost;
    double units = 0;              ///< of its workspace's allowance
    int tier = 0;                  ///< of the workspace first, then of the route; 0 is the highest
    std::uint64_t fingerprint = 0; ///< of caller, target and body

    [[nodiscard]] std::chrono::milliseconds time_left() const {
        return std::chrono::duration_cast<std::chrono::milliseconds>(deadline - clock::now());
    }
};

/// Throws request_error: no configuration, no such route, no such key.
[[nodiscard]] admitted_request admit(const gateway_context& context, const http::received_request& request,
                                     admitted_request::clock::time_point arrived);

} // namespace borageford::gateway
