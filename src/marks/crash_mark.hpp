// Crash marks of requests that were running when a backend server crashed, as rows `mark/FINGERPRINT` of the
// platform's table.
#pragma once

#include "base/identifier.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace borageford::marks {

/// Prefix of the key of every row of crash marks.
inline constexpr std::string_view key_prefix = "mark/";

/// One crash of a backend server while a request ran there.
struct crash_mark {
    /// Identifies this crash for this request.
    identifier mark;
    std::string backend_server;
    std::int64_t time = 0; ///< Unix time in milliseconds.
};

/// The key of the row for a request's fingerprint.
[[nodiscard]] std::string key_for(std::uint64_t fingerprint);
/// Reads the fingerprint from a row's key; false when the key isn't one of a row of crash marks.
[[nodiscard]] bool parse_key(std::string_view key, std::uint64_t& fingerprint);

/// Reads the marks from a row's value. Throws std::invalid_argument for other text.
[[nodiscard]] std::vector<crash_mark> decode_row(std::string_view value);
/// The value of a row with these marks, as JSON.
[[nodiscard]] std::string encode_row(const std::vector<crash_mark>& marks);

} // namespace borageford::marks
