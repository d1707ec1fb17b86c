// Weighted rendezvous hashing: gives each key an order of preference over servers that changes little when
// servers are added or removed or change their weight.
#pragma once

#include <cstdint>

namespace borageford::policy {

/// Score of a server for a key; the server with the highest score is preferred. Over many keys, each server
/// is preferred in proportion to its weight. Changing the weight of one server only moves keys to or from
/// that server.
[[nodiscard]] double rendezvous_score(std::uint64_t key, std::uint64_t server, double weight) noexcept;

} // namespace borageford::policy
