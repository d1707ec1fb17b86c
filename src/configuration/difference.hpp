// What one configuration changes against another, in operators' words.
#pragma once

#include "configuration/configuration.hpp"

#include <span>
#include <string>
#include <vector>

namespace borageford::configuration {

/// What a workspace takes at present, so that a limit below it draws a warning.
struct workspace_use {
    std::string workspace;
    double requests_per_second = 0;
    double tokens_per_second = 0;
    unsigned concurrent_requests = 0;
};

/// One line for each thing added, removed or changed. Empty when both mean the same.
[[nodiscard]] std::vector<std::string> describe_changes(const configuration& before,
                                                        const configuration& after);

/// What the change would take away from somebody, one line each.
[[nodiscard]] std::vector<std::string> describe_warnings(const configuration& before,
                                                         const configuration& after,
                                                         std::span<const workspace_use> use);

} // namespace borageford::configuration
