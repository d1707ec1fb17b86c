// A plan: a proposed change of the configuration that an operator reviews and then confirms. Also the edit of
// an intent file that drains a backend server or ends its drain.
#pragma once

#include "configuration/configuration.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace borageford::configuration {

/// A proposed change on top of revision `base`. When it is confirmed, it becomes revision `base + 1`, or it
/// is refused because that revision already exists.
struct plan {
    std::string id;
    revision_number base = 0;
    std::string operator_name;
    std::string time;                  ///< when the plan was made, UTC, ISO 8601
    std::string text;                  ///< complete new intent file
    std::vector<std::string> changes;  ///< from describe_changes()
    std::vector<std::string> warnings; ///< from describe_warnings()
};

/// Returns the plan as a JSON object, as it is stored in the object store.
[[nodiscard]] std::string encode(const plan& what);
/// Decodes the result of encode(). Throws std::runtime_error if the bytes aren't a plan.
[[nodiscard]] plan decode_plan(std::string_view bytes);

/// Returns the intent with the `drained` key of this backend server set and every other line unchanged;
/// nothing if the intent has no such backend server.
[[nodiscard]] std::optional<std::string> set_drained(std::string_view text, std::string_view backend_server,
                                                     bool drained);

/// The present time in the format of plans and revisions: UTC, ISO 8601, with milliseconds.
[[nodiscard]] std::string current_time_text();

} // namespace borageford::configuration
