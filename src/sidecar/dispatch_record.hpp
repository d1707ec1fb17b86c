// What a sidecar holds of one offer and of one started dispatch.
#pragma once

#include "backend/answer_stream.hpp"
#include "backend/backend_types.hpp"
#include "base/identifier.hpp"
#include "base/timer_service.hpp"
#include "policy/adaptive_limit.hpp"
#include "policy/time.hpp"
#include "sidecar/answer_buffer.hpp"
#include "sidecar/peer_registry.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace borageford::sidecar {

using policy::duration;
using policy::time_point;

/// An offer's request, without its content: that comes with the start.
struct offered_request {
    dispatch_id dispatch;
    request_id request;
    std::string workspace;
    std::string target;
    unsigned tier = 0;
    bool is_service = false;
    bool is_idempotent = false;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t prefill_tokens = 0; ///< of the prompt, those that the engine probably hasn't cached
    std::uint32_t expected_output_tokens = 0;
    std::uint64_t fingerprint = 0;
    std::uint64_t resend_key = 0; ///< 0: never attached to
    std::vector<std::uint64_t> prefix_hashes;
    time_point received{};
    std::optional<time_point> deadline;
    time_point first_token_target{};
};

/// A connection that is sent an answer.
struct answer_reader {
    connection_id connection = 0;
    std::uint64_t next_offset = 0; ///< of the next byte to send
    bool has_head = false;
};

/// A dispatch that was started. Lives until its answer was acknowledged or given up.
struct dispatch_record {
    offered_request request;
    backend::call call;
    answer_buffer answer;
    std::vector<answer_reader> readers;
    policy::admission admission;                    ///< its room at the backend server
    std::uint64_t backend_epoch = 0;                ///< life of the backend server that it was started in
    std::unique_ptr<backend::answer_stream> stream; ///< while it is read
    time_point started{};
    std::optional<time_point> first_token;
    time_point last_token{};
    std::optional<time_point> ended;
    std::uint64_t tokens = 0;
    bool is_adopted = false;   ///< started by a former incarnation: resumed, never run
    bool is_announced = false; ///< its readers know that it was found again
    bool is_acknowledged = false;
    bool is_cancelled = false;      ///< nobody waited for it
    bool is_suspect = false;        ///< may be what its backend server died of
    timer_subscription grace;       ///< running out while nobody reads
    timer_subscription prefill_end; ///< of an answer that isn't streamed, by the measured rate
};

} // namespace borageford::sidecar
