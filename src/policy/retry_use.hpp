// What processes tell each other about the retries that they have granted.
#pragma once

#include "policy/slot_request.hpp"
#include "policy/time.hpp"

#include <cstdint>
#include <vector>

namespace borageford::policy {

/// The part of the retry reserve of a service that one process has used.
struct retry_use {
    std::uint64_t source = 0; ///< number that identifies the run of the process
    service_key service = 0;
    std::uint32_t revision = 0; ///< orders what one process says about its uses; greater is later
    double retries = 0;         ///< retries beyond the ratio's part of the requests that it counted
    time_point granted;         ///< when it granted the last of them
};

/// What a process knows of the uses of the reserve by all processes, itself included.
struct retry_statement {
    std::vector<retry_use> uses;
    /// For how long the process has known of all uses; zero: it may not know of all.
    duration known_for{};

    [[nodiscard]] bool is_empty() const noexcept { return uses.empty() && known_for == duration::zero(); }
};

} // namespace borageford::policy
