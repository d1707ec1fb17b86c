// A change that an operator has been shown and may confirm, and the edit of an intent that a drain makes.
#pragma once

#include "configuration/configuration.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace borageford::configuration {

/// Bound to one base: confirmed, it becomes revision `base + 1` or nothing.
struct plan {
    std::string id;
    revision_number base = 0;
    std::string operator_name;
    std::string time; ///< when it was made, UTC, ISO 8601
    std::string text; ///< the intent
    std::vector<std::string> changes;
    std::vector<std::string> warnings;
};

[[nodiscard]] std::string encode(const plan& what);
/// Throws std::runtime_error for bytes that aren't a plan.
[[nodiscard]] plan decode_plan(std::string_view bytes);

/// The intent with this backend server's `drained` set, and every other line kept as it was written.
/// Nothing when the text has no such backend server.
[[nodiscard]] std::optional<std::string> set_drained(std::string_view text, std::string_view backend_server,
                                                     bool drained);

/// The present time as plans and revisions carry it: UTC, ISO 8601, milliseconds.
[[nodiscard]] std::string current_time_text();

} // namespace borageford::configuration
