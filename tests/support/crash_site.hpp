// What the tests of requests that crash servers have in common.
#pragma once

#include "support/gateway_site.hpp"

#include <cstddef>
#include <functional>
#include <vector>

namespace borageford::test {

/// Gateways and plain servers. Every call is sent to at most `attempts` servers.
[[nodiscard]] site_options crash_site(std::size_t servers, std::size_t gateways, unsigned attempts = 1);

/// Sends a harmless call through each of these gateways, one after the other, and returns how many were
/// served. What a gateway or its coordinator told the others before is known to them afterwards, since
/// messages between two gateways arrive in order.
std::size_t send_round(const gateway_site& site, const std::vector<std::size_t>& gateways,
                       const std::function<http::request(std::size_t gateway)>& make_harmless_call);

} // namespace borageford::test
