// Identifies the processes that work together.
#pragma once

#include <cstdint>

namespace borageford::policy {

/// Identifies a member; all processes use the same number for it.
using member_key = std::uint64_t;

} // namespace borageford::policy
