// Explains what happened to a request, as English sentences for an auditor and as JSON for programs.
#pragma once

#include "audit/search_result.hpp"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace borageford::audit {

/// Returns the lines of an explanation: first whether, where and why the request ran; then each record with
/// its time (UTC), its writer and the revision in force; last the remarks about missing records.
[[nodiscard]] std::vector<std::string> describe_request(const request_id& request,
                                                        const search_result& found);

/// Returns the explanation as a JSON object for programs, with "verdict", "summary", "steps" and "remarks".
[[nodiscard]] std::string describe_request_as_json(const request_id& request, const search_result& found);

/// Returns one line for each of the first `limit` requests of the workspace, then the remarks. An empty name
/// means all workspaces.
[[nodiscard]] std::vector<std::string> list_requests(std::string_view workspace, const search_result& found,
                                                     std::size_t limit);

/// Formats a time with microseconds in UTC, for example "2026-12-02T20:45:01.123456Z".
[[nodiscard]] std::string format_time(std::chrono::system_clock::time_point time);

} // namespace borageford::audit
