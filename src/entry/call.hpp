// One caller's request as the rest of the entry sees it.
#pragma once

#include "base/identifier.hpp"
#include "configuration/configuration.hpp"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace borageford::entry {

/// Invariant: `workspace`, `tier` and `route` point into `configuration`, which the call keeps alive.
struct call {
    request_id id;
    std::shared_ptr<const configuration::configuration> configuration;
    const configuration::workspace* workspace = nullptr;
    const configuration::tier* tier = nullptr;
    const configuration::route* route = nullptr;

    std::string target; ///< model or service
    bool is_service = false;
    bool is_idempotent = true;
    bool caller_says_idempotent = true; ///< the stricter of caller and route counts
    bool is_streamed = false;

    std::string method;
    std::string path; ///< as the backend server gets it
    std::string content_type;
    std::string body;

    std::uint32_t prompt_tokens = 0;
    std::uint32_t expected_output_tokens = 0;
    std::vector<std::uint64_t> prefix_hashes;
    std::uint64_t fingerprint = 0; ///< of workspace, path and body
    std::string idempotency_key;   ///< empty when the caller gave none
    std::uint64_t resend_key = 0;  ///< of workspace and idempotency key; 0 without a key
    std::chrono::steady_clock::time_point received = std::chrono::steady_clock::now();
    std::chrono::steady_clock::time_point deadline; ///< by which it must have started
};

} // namespace borageford::entry
