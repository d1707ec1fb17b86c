// The rows in which the configuration's revisions are kept, and their coding.
#pragma once

#include "configuration/configuration.hpp"

#include <string>
#include <string_view>

namespace borageford::configuration {

inline constexpr std::string_view head_key = "configuration/head";
inline constexpr std::string_view revision_prefix = "configuration/revision/";

/// The row that names the revision in force. Its version at the table guards every commit.
struct head_row {
    revision_number revision = 0;
    std::string plan; ///< id of the plan that was confirmed
    std::string operator_name;
};

/// One revision, written once and never changed.
struct revision_row {
    revision_number revision = 0;
    std::string plan;
    std::string operator_name;
    std::string time; ///< of the commit, UTC, ISO 8601
    std::string text; ///< the intent
};

/// The revision's key: numbers are padded so that keys sort by number.
[[nodiscard]] std::string revision_key(revision_number revision);

[[nodiscard]] std::string encode(const head_row& head);
[[nodiscard]] std::string encode(const revision_row& revision);
/// Throw std::runtime_error for a value that isn't such a row.
[[nodiscard]] head_row decode_head(std::string_view value);
[[nodiscard]] revision_row decode_revision(std::string_view value);

} // namespace borageford::configuration
