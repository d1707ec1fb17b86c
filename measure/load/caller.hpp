// One simulated caller of the load client: sends a planned request, reads the streamed answer and checks it.
// When the connection breaks, it sends the request again with the same idempotency key to the next entry.
#pragma once

#include "http/client.hpp"
#include "load/load_plan.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace borageford::test {

/// How a request of the load client ended. The results file of `borageford_load` names the outcomes in this
/// order.
enum class call_outcome : std::uint8_t {
    complete, ///< the complete and correct answer arrived
    refused,  ///< an error whose body says that the request didn't run (`"ran":"no"`)
    failed,   ///< any other error response, or an error event inside the stream
    lost,     ///< the connection broke in every attempt, the last resend included
    wrong,    ///< a successful response whose text differs from the expected one or lacks the end event
};

/// What the load client records about one request. Times are 0 when they weren't measured.
struct call_result {
    call_outcome outcome = call_outcome::lost;
    unsigned status = 0;          ///< HTTP status; 0 when no response head was received
    std::string kind;             ///< the error's code, "none" when its body has none; empty without an error
    double first_token_ms = 0;    ///< since the planned arrival, so earlier attempts are included
    double gap_percentile_ms = 0; ///< `event_reader::gap_percentile` of the answer
    double total_ms = 0;      ///< from the planned arrival to the end of the answer or of the last attempt
    double retry_after_s = 0; ///< the error's Retry-After header; 0 when it has none
    unsigned resends = 0;     ///< attempts after the first
};

/// Settings that all callers of a run share.
struct caller_options {
    std::vector<http::endpoint> entries; ///< where requests are sent; must not be empty
    /// A workspace's API key is this prefix followed by the workspace's name. scripts/measure configures the
    /// same keys.
    std::string key_prefix;
    /// Part of every idempotency key. Runs with different seeds against one system therefore never share a
    /// key.
    std::uint64_t key_seed = 0;
    std::string deadline = "10s"; ///< value of the X-Deadline header
    /// Requests go straight to an engine, without the API key, tier, deadline and idempotency key headers.
    bool is_direct = false;
};

/// Sends request `number` of the plan and resends it until it is answered or the attempts are used up.
/// Workspaces and tiers are called by their numbers: "workspace-0", "tier-0". Times count from `arrival`. A
/// broken connection is reported as `call_outcome::lost`, not thrown.
[[nodiscard]] boost::asio::awaitable<call_result>
run_call(boost::asio::any_io_executor executor, const caller_options& options, const planned_request& planned,
         std::uint64_t number, std::chrono::steady_clock::time_point arrival);

} // namespace borageford::test
