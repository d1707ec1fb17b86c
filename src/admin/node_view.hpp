// The data about an entry that the administration API shows to operators. The entry provides it through the
// functions of node_view.
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

/// The state of a backend server as the entry knows it from its connection to the server's sidecar.
struct backend_server_state {
    std::string name;
    bool is_connected = false;
    bool is_leaving = false;                             ///< the sidecar is shutting down
    std::optional<std::chrono::milliseconds> report_age; ///< nothing: no load report received yet
    // The following members are taken from the last load report.
    std::uint32_t queued_requests = 0;
    std::uint32_t running_sequences = 0;
    std::uint32_t sequence_limit = 0;
    double prefill_tokens_per_second = 0;
    double output_tokens_per_second = 0;
    std::chrono::milliseconds expected_wait{0};
};

/// What audit records show about one request, or a list of requests.
struct explanation {
    std::vector<std::string> lines; ///< plain English, for an auditor
    std::string document;           ///< the same information as a JSON object; empty: none
};

/// A query for the requests of a workspace in a period of time.
struct request_query {
    std::string workspace; ///< empty: all workspaces
    std::chrono::system_clock::time_point from;
    std::chrono::system_clock::time_point to;
    std::size_t limit = 100; ///< maximum number of requests listed
};

/// Functions that the entry provides. Each must be safe to call from any thread; an empty function means that
/// the entry doesn't have the data.
struct node_view {
    std::function<std::vector<backend_server_state>()> backend_servers;
    /// What each workspace uses at this entry.
    std::function<std::vector<configuration::workspace_use>()> workspace_usage;
    /// Explains one request; nothing if no audit record of it was found.
    std::function<boost::asio::awaitable<std::optional<explanation>>(request_id)> explain;
    std::function<boost::asio::awaitable<explanation>(request_query)> find_requests;
};

} // namespace borageford::admin
