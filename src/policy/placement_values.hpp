// Values that all placement policies use: the request, the candidates and the plan.
#pragma once

#include "policy/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace borageford::policy {

/// Last load report of a backend server (wire `load_report`), as sent by its sidecar.
struct reported_load {
    std::uint32_t queued_requests = 0;
    std::uint32_t running_sequences = 0;
    double prefill_tokens_per_second = 0; ///< 0 until measured
    duration expected_wait{}; ///< expected wait of a new offer of the request's tier until its grant
    duration age{};           ///< time since the report was received
};

/// A backend server that is configured for the request, connected, and neither shutting down nor drained. The
/// string views are only valid during the call.
struct placement_candidate {
    /// hash_bytes() (base/hash.hpp) of the backend server's name. All entry processes must compute the same
    /// value.
    std::uint64_t name_hash = 0;
    std::string_view failure_domain;
    std::string_view region;
    std::optional<reported_load> load; ///< nothing until the first report was received
    /// Offers of this entry process to the server since that report that are granted or still waiting.
    std::uint32_t own_requests_since = 0;
    /// Tokens at the start of this prompt that the server probably has cached, according to prefix_index; a
    /// hint.
    std::uint32_t cached_tokens = 0;
};

/// The request to place.
struct placement_request {
    /// Identifies the prompt's prefix when homes are chosen (prefix_index::home_key). Nothing for a request
    /// to a plain service or for a prompt that is too short to benefit from a cache.
    std::optional<std::uint64_t> home_key;
    std::uint32_t prompt_tokens = 0;
    unsigned tier = 0;
    duration first_token_target = std::chrono::milliseconds(1100);
    std::string_view failure_domain; ///< of the entry
    std::string_view region;         ///< of the entry
    std::uint64_t sequence = 0;      ///< number of placements that this entry process has made before
    std::uint64_t seed = 0;          ///< random number for choices between equal candidates
};

/// An offer to `candidates[candidate]`, to be made `after` the start of the placement.
struct planned_offer {
    std::size_t candidate = 0;
    duration after{};
};

/// Offers in the order in which they are made. The entry process makes each offer at its time, or makes the
/// next group at once when all offers made so far were refused, and stops at the first grant. A plan of a
/// push policy (round_robin, power_of_two) has exactly one offer. A plan is empty when there is no candidate.
struct placement_plan {
    std::vector<planned_offer> offers;
};

} // namespace borageford::policy
