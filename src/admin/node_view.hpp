// What the administration API shows of the entry that serves it. The entry fills the functions; each must be
// safe from any thread. An empty function means that this entry can't tell.
#pragma once

#include "base/identifier.hpp"
#include "configuration/difference.hpp"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace borageford::admin {

/// A backend server as this entry last heard of it.
struct backend_server_state {
    std::string name;
    bool is_connected = false;
    bool is_leaving = false;
    std::optional<std::chrono::milliseconds> report_age; ///< nothing: no load report yet
    std::uint32_t queued_requests = 0;
    std::uint32_t running_sequences = 0;
    std::uint32_t sequence_limit = 0;
    double prefill_tokens_per_second = 0;
    double output_tokens_per_second = 0;
    std::chrono::milliseconds expected_wait{0};
};

/// What an auditor reads about one request.
struct explanation {
    std::vector<std::string> lines; ///< plain words, in order of time
    std::string document;           ///< the same for programs, one JSON object; empty: there is none
};

/// Which requests an auditor asks about.
struct request_query {
    std::string workspace; ///< empty: every one
    std::chrono::system_clock::time_point from;
    std::chrono::system_clock::time_point to;
    std::size_t limit = 100;
};

struct node_view {
    std::function<std::vector<backend_server_state>()> backend_servers;
    /// What each workspace takes at this entry.
    std::function<std::vector<configuration::workspace_use>()> limits_in_use;
    /// Nothing when no record of the request was found.
    std::function<boost::asio::awaitable<std::optional<explanation>>(request_id)> explain;
    std::function<boost::asio::awaitable<explanation>(request_query)> find_requests;
};

} // namespace borageford::admin
