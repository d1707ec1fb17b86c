// One caller: sends its request at its time, reads the answer, and sends again with the same key after a
// lost connection.
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

enum class call_outcome : std::uint8_t {
    whole,   ///< the whole of its own answer came
    refused, ///< a refusal that says "not run"
    failed,  ///< another error, told
    lost,    ///< neither an answer nor an error came, however often it asked
    wrong,   ///< an answer that isn't its own or not whole, passed off as such
};

struct call_result {
    call_outcome outcome = call_outcome::lost;
    unsigned status = 0;
    std::string kind;
    double first_token_ms = 0; ///< from the arrival, resends included
    double gap_percentile_ms = 0;
    double total_ms = 0;
    double retry_after_s = 0;
    unsigned resends = 0;
};

struct caller_options {
    std::vector<http::endpoint> entries;
    /// The workspace's API key is its name's; see scripts/measure.
    std::string key_prefix;
    std::uint64_t key_seed = 0; ///< part of every idempotency key: no two runs at one system share keys
    std::string deadline = "10s";
    bool is_direct = false; ///< talks to an engine, without keys or tiers
};

/// Names of workspaces and tiers by number: "workspace-0", "tier-0".
[[nodiscard]] boost::asio::awaitable<call_result>
run_call(boost::asio::any_io_executor executor, const caller_options& options, const planned_request& planned,
         std::uint64_t number, std::chrono::steady_clock::time_point arrival);

} // namespace borageford::test
