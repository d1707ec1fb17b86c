// Chooses the loopback addresses and the ports of the gateways that a test starts.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace borageford::test {

/// The number of ports that one gateway listens on, in this order: callers, readiness, other gateways,
/// metrics.
inline constexpr unsigned ports_per_gateway = 4;

/// The loopback address of a gateway. Each gateway has its own address, because all gateways use the same
/// ports.
[[nodiscard]] std::string gateway_address(std::size_t gateway);

/// Returns the first of `ports_per_gateway` consecutive ports that are free for TCP and UDP at the addresses
/// of all these gateways. Another process may still take one before the gateways bind them.
[[nodiscard]] std::uint16_t find_gateway_ports(std::size_t gateways);

} // namespace borageford::test
