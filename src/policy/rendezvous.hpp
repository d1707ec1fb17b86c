// Weighted rendezvous hashing: gives each key an order of preference over servers that moves little when
// servers come, go or change their weight.
#pragma once

#include <cstdint>

namespace borageford::policy {

/// The score of a server for a key; the highest wins. Over many keys a server wins in proportion to its
/// weight. A change of one server's weight moves only keys to or from that server.
[[nodiscard]] double rendezvous_score(std::uint64_t key, std::uint64_t server, double weight) noexcept;

} // namespace borageford::policy
