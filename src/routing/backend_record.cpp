// Computes the key of a backend server's start.
#include "routing/backend_record.hpp"

#include "base/hash.hpp"

namespace borageford::routing {

std::uint64_t backend_record::key() const noexcept {
    return hash_bytes(id, start);
}

} // namespace borageford::routing
