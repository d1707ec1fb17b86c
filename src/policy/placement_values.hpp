// The values that every placement policy works on: the request, the candidates, the plan.
#pragma once

#include "policy/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace borageford::policy {

/// A backend server's last load report (wire `load_report`), as its sidecar sent it.
struct reported_load {
    std::uint32_t queued_requests = 0;
    std::uint32_t running_sequences = 0;
    double prefill_tokens_per_second = 0; ///< 0: not measured yet
    duration expected_wait{};             ///< of a new offer of the request's tier until its grant
    duration age{};                       ///< since the report was received
};

/// One backend server that is configured for the request, connected, neither leaving nor drained. Views
/// stay valid for the call only.
struct placement_candidate {
    /// base hash_bytes of the backend server's name; all entries must agree on it.
    std::uint64_t name_hash = 0;
    std::string_view failure_domain;
    std::string_view region;
    std::optional<reported_load> load; ///< nothing until a first report came
    /// This entry's own offers there that were granted or still wait, made since that report.
    std::uint32_t own_requests_since = 0;
    /// Tokens at the start of this prompt that are believed cached there (prefix_index); a hint.
    std::uint32_t cached_tokens = 0;
};

/// What is to be placed, and for whom.
struct placement_request {
    /// Names the prompt's prefix for its homes (prefix_index::home_key); nothing for a plain service or a
    /// prompt too short to be worth finding again.
    std::optional<std::uint64_t> home_key;
    std::uint32_t prompt_tokens = 0;
    unsigned tier = 0;
    duration first_token_target = std::chrono::milliseconds(1100);
    std::string_view failure_domain; ///< of the entry
    std::string_view region;         ///< of the entry
    std::uint64_t sequence = 0;      ///< the entry's count of placements so far
    std::uint64_t seed = 0;          ///< random, for choices among equals
};

/// One offer to make: to candidates[candidate], that long after the placement began.
struct planned_offer {
    std::size_t candidate = 0;
    duration after{};
};

/// Offers in the order of their time. The entry makes each when its time comes, and the next group at once
/// when every offer made so far was refused; it stops at the first grant. A push policy's plan has exactly
/// one offer. Empty when there is no candidate.
struct placement_plan {
    std::vector<planned_offer> offers;
};

} // namespace borageford::policy
