// The state that a sidecar keeps of an offered request and of a started dispatch. A dispatch is one placement
// of a request at one backend server: an entry process offers it, the sidecar grants it, and the entry starts
// it.
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

/// The description of an offered request. The content of the request is sent with the start message.
struct offered_request {
    dispatch_id dispatch;
    request_id request;
    std::string workspace;
    std::string target; ///< name of the model or, if `is_service`, of the service
    unsigned tier = 0;  ///< rank of the request's tier; 0 is the highest
    bool is_service = false;
    bool is_idempotent = false;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t prefill_tokens = 0; ///< prompt tokens that the engine probably hasn't cached
    std::uint32_t expected_output_tokens = 0;
    std::uint64_t fingerprint = 0; ///< hash of the workspace, path and body; 0: none
    std::uint64_t resend_key = 0;  ///< identifies a request that is sent again; 0: never attached to
    std::vector<std::uint64_t> prefix_hashes; ///< one for each block of the prompt, from its beginning
    time_point received{};
    std::optional<time_point> deadline;
    time_point first_token_target{}; ///< when the first token is due by the target of the request's tier
};

/// An entry connection that an answer is sent to.
struct answer_reader {
    connection_id connection = 0;
    std::uint64_t next_offset = 0; ///< offset of the next byte to send
    bool has_head = false;         ///< the answer's head has been sent
};

/// A dispatch that was started. Kept until its answer was acknowledged or removed by the limits of the
/// dispatch_store.
struct dispatch_record {
    offered_request request;
    backend::call call;
    answer_buffer answer;
    std::vector<answer_reader> readers;
    policy::admission admission;                    ///< its capacity at the backend server
    std::uint64_t backend_epoch = 0;                ///< backend_monitor::epoch() at its start
    std::unique_ptr<backend::answer_stream> stream; ///< null unless the answer is being read
    time_point started{};
    std::optional<time_point> first_token;
    time_point last_token{};
    std::optional<time_point> ended;
    std::uint64_t tokens = 0;  ///< output tokens received as a stream
    bool is_adopted = false;   ///< started by a previous process of this sidecar; resumed, never run
    bool is_announced = false; ///< the readers of an adopted dispatch were told that it is running
    bool is_acknowledged = false;
    bool is_cancelled = false;      ///< cancelled because no connection read it
    bool is_suspect = false;        ///< may have caused the crash of its backend server
    timer_subscription grace;       ///< cancels the dispatch; active while it has no readers
    timer_subscription prefill_end; ///< expected end of the prefill, for an answer that isn't streamed
};

} // namespace borageford::sidecar
