// Loopback addresses and ports for gateways that a test starts.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace borageford::test {

/// Ports that one gateway listens on: callers, readiness, other gateways, metrics.
inline constexpr unsigned ports_of_a_gateway = 4;

/// Each gateway has a loopback address of its own, since all of them use the same ports.
[[nodiscard]] std::string gateway_address(std::size_t gateway);

/// The first of `ports_of_a_gateway` ports in a row that are free at all these gateways' addresses, for TCP
/// and UDP. The kernel proposes them.
[[nodiscard]] std::uint16_t find_gateway_ports(std::size_t gateways);

} // namespace borageford::test
