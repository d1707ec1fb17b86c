// The rows of the platform's table that store the revisions of the configuration, and their JSON encoding.
#pragma once

#include "configuration/configuration.hpp"

#include <string>
#include <string_view>

namespace borageford::configuration {

inline constexpr std::string_view head_key = "configuration/head";
inline constexpr std::string_view revision_prefix = "configuration/revision/";

/// The row under `head_key`. It contains the number of the newest revision and is replaced by every commit.
struct head_row {
    revision_number revision = 0;
    std::string plan; ///< id of the confirmed plan
    std::string operator_name;
};

/// One revision of the configuration. The row is written once and never changed or deleted.
struct revision_row {
    revision_number revision = 0;
    std::string plan; ///< id of the confirmed plan
    std::string operator_name;
    std::string time; ///< time of the commit, UTC, ISO 8601
    std::string text; ///< complete intent file
};

/// The key of a revision's row. The number is padded with zeros so that keys sort in the order of revisions.
[[nodiscard]] std::string revision_key(revision_number revision);

/// Returns the row as a JSON object.
[[nodiscard]] std::string encode(const head_row& head);
[[nodiscard]] std::string encode(const revision_row& revision);
/// Decodes a head row. Throws std::runtime_error if the value isn't one.
[[nodiscard]] head_row decode_head(std::string_view value);
/// Decodes a revision row. Throws std::runtime_error if the value isn't one.
[[nodiscard]] revision_row decode_revision(std::string_view value);

} // namespace borageford::configuration
