// One request of a soak as its caller saw it, and one run of it as a backend server saw it.
#pragma once

#include "experiment/load_call.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace borageford::soak {

using clock = std::chrono::steady_clock;

/// How a caller's wait ended.
enum class caller_end : std::uint8_t {
    answered,   ///< the connection brought an answer, or its end
    left,       ///< the caller left on purpose
    unanswered, ///< nothing final came long after the request's time was over
};

struct sent_request {
    std::string id;
    std::string target;
    std::string body;
    std::string key;
    std::string service; ///< that its route leads to; empty where that changes
    bool may_repeat = false;
    bool is_stream = false;
    bool is_always_there = true; ///< its route is in every configuration
    unsigned output_tokens = 0;  ///< events of its whole stream
    std::size_t gateway = 0;
    unsigned gateway_life = 0;  ///< starts of that gateway when it was sent
    bool is_of_one_life = true; ///< the gateway was not started again before its end
    clock::time_point sent;
    clock::time_point ended;
    caller_end end = caller_end::answered;
    experiment::call_result result;
};

struct server_run {
    std::string server;
    std::string service;
    std::string request_id;
    std::string target;
    std::string body;
    std::string workspace;
    clock::time_point begun;
};

} // namespace borageford::soak
