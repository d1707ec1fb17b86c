// The records that the soak checks: a request as its caller saw it, a run of a request as a backend server
// saw it, and bytes of a request that were held back between the two.
#pragma once

#include "experiment/load_call.hpp"
#include "support/fault_proxy.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace borageford::soak {

using clock = std::chrono::steady_clock;

/// How a caller's wait ended.
enum class caller_end : std::uint8_t {
    answered,     ///< an answer was received, or the connection ended
    disconnected, ///< the caller disconnected on purpose
    unanswered,   ///< no final answer was received until long after the request's deadline
};

/// A request and its outcome, recorded by its caller.
struct sent_request {
    std::string id;
    std::string target;
    std::string body;
    std::string key;
    std::string service; ///< the service of the request's route; empty for the route whose service changes
    bool is_idempotent = false; ///< the route is idempotent: the request may run more than once
    bool is_stream = false;
    bool is_in_every_configuration = true; ///< every configuration has the request's route
    unsigned output_tokens = 0;            ///< events of the complete stream
    std::size_t padding = 0;               ///< bytes that are added to each event
    std::vector<std::string> parts;        ///< of its prompt that other requests share
    /// Id of the request that brought the first event of the stream that this one resumes; empty: none.
    std::string resumed_request;
    std::uint64_t received_before = 0; ///< events of the stream that earlier requests have brought
    std::string software_before;       ///< the software version that wrote them
    unsigned resumes = 0;              ///< how often the stream was resumed, this request included
    std::size_t gateway = 0;
    unsigned gateway_start_count = 0; ///< how often the gateway had been started when the request was sent
    bool is_same_process = true;      ///< the gateway wasn't started again before the request ended
    clock::time_point sent;
    clock::time_point ended;
    caller_end end = caller_end::answered;
    experiment::call_result result;
};

/// A run of a request, recorded by the backend server.
struct server_run {
    std::string server;
    std::string service;
    std::string request_id;
    std::string target;
    std::string body;
    std::string workspace;
    clock::time_point begun;
};

/// The server's id, which is the part of its name before the number of its start.
[[nodiscard]] inline std::string server_id_of(const std::string& server_name) {
    return server_name.substr(0, server_name.find('@'));
}

/// Bytes from a gateway that were held back on their way to a backend server, as the proxy before that server
/// saw them.
struct held_delivery {
    std::string server_id; ///< see server_id_of()
    test::held_unit unit;
};

} // namespace borageford::soak
