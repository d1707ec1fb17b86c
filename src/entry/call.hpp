// A parsed and authorized request of a caller, as all parts of the entry use it.
#pragma once

#include "base/identifier.hpp"
#include "configuration/configuration.hpp"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace borageford::entry {

/// One request of a caller. parse_call() creates it, and update_call() updates it for a newer configuration.
/// Invariant: `workspace`, `tier` and `route` point into `configuration`, which the call keeps alive.
struct call {
    request_id id;
    std::shared_ptr<const configuration::configuration> configuration;
    const configuration::workspace* workspace = nullptr;
    const configuration::tier* tier = nullptr;
    const configuration::route* route = nullptr;

    std::string target; ///< name of the model, or of the service when `is_service` is set
    bool is_service = false;
    bool is_idempotent = true;            ///< true only if both the route and the caller allow repeated runs
    bool is_idempotent_for_caller = true; ///< false when the caller sent "X-Idempotent: no"
    bool is_streamed = false;

    std::string method;
    std::string path; ///< path and query that are sent to the backend server
    std::string content_type;
    std::string body;

    std::uint32_t prompt_tokens = 0;
    std::uint32_t expected_output_tokens = 0;
    std::vector<std::uint64_t> prefix_hashes;
    std::uint64_t fingerprint = 0; ///< hash of workspace, path and body
    std::string idempotency_key;   ///< empty when the caller sent none
    /// Hash of workspace and idempotency key, by which sidecars recognize a resend (the same request, sent
    /// again by its caller with the same key). 0: the caller sent no key, or resends aren't looked for.
    std::uint64_t resend_key = 0;
    std::chrono::steady_clock::time_point received = std::chrono::steady_clock::now();
    std::chrono::steady_clock::time_point deadline; ///< time by which the request must have been started
};

} // namespace borageford::entry
