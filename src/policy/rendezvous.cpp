// Hashes each pair of key and server to one exponentially distributed value.
#include "policy/rendezvous.hpp"

#include "base/hash.hpp"

#include <cmath>
#include <string_view>

namespace borageford::policy {

double rendezvous_score(std::uint64_t key, std::uint64_t server, double weight) noexcept {
    const std::string_view bytes(reinterpret_cast<const char*>(&server), sizeof server);
    const std::uint64_t mixed = hash_bytes(bytes, key);
    // The upper 53 bits, shifted off zero, as a number inside (0, 1).
    const double uniform = (static_cast<double>(mixed >> 11U) + 0.5) * 0x1p-53;
    return weight / -std::log(uniform);
}

} // namespace borageford::policy
