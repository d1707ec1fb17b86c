// Tells what happened to a request, for an auditor in plain words and for programs as JSON.
#pragma once

#include "audit/findings.hpp"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace borageford::audit {

/// First whether, where and why it ran; then every step with its time (UTC), who says so and the revision;
/// last what is missing.
[[nodiscard]] std::vector<std::string> describe_request(const request_id& request, const findings& found);

/// The same for programs: one object with "verdict", "summary", "steps", "remarks".
[[nodiscard]] std::string describe_request_as_json(const request_id& request, const findings& found);

/// One line for each of the first `limit` requests of the workspace (empty: of all), then the remarks.
[[nodiscard]] std::vector<std::string> list_requests(std::string_view workspace, const findings& found,
                                                     std::size_t limit);

/// "2026-12-02T20:45:01.123456Z".
[[nodiscard]] std::string format_time(std::chrono::system_clock::time_point time);

} // namespace borageford::audit
