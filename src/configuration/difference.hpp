// Describes in plain sentences for operators what a new configuration changes compared to the current one,
// and warns of changes that restrict callers or remove capacity.
#pragma once

#include "configuration/configuration.hpp"

#include <span>
#include <string>
#include <vector>

namespace borageford::configuration {

/// What a workspace uses at present. A new limit below the present use causes a warning.
struct workspace_use {
    std::string workspace;
    double requests_per_second = 0;
    double tokens_per_second = 0;
    unsigned concurrent_requests = 0;
};

/// One line for each object added or removed, each field changed and a new order of routes. Empty if the two
/// configurations don't differ.
[[nodiscard]] std::vector<std::string> describe_changes(const configuration& before,
                                                        const configuration& after);

/// One line for each warning, for example a lowered limit, a removed object that is in use, or a model that
/// no backend server serves any more. `use` is the present use of workspaces; a workspace that isn't listed
/// counts as unused.
[[nodiscard]] std::vector<std::string> describe_warnings(const configuration& before,
                                                         const configuration& after,
                                                         std::span<const workspace_use> use);

} // namespace borageford::configuration
