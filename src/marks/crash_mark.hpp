// The marks of requests that were running when a backend server died, as rows of the platform's table:
// `mark/FINGERPRINT`.
#pragma once

#include "base/identifier.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace borageford::marks {

/// Every row of marks has a key that starts with this.
inline constexpr std::string_view key_prefix = "mark/";

/// One death of a backend server while a request ran there.
struct crash_mark {
    identifier mark;
    std::string backend_server;
    std::int64_t time = 0; ///< milliseconds since 1970
};

/// The row's key for a request's fingerprint.
[[nodiscard]] std::string key_for(std::uint64_t fingerprint);
/// False for a key that isn't one of a row of marks.
[[nodiscard]] bool parse_key(std::string_view key, std::uint64_t& fingerprint);

/// Throws std::invalid_argument for text that isn't such a row.
[[nodiscard]] std::vector<crash_mark> decode_row(std::string_view value);
[[nodiscard]] std::string encode_row(const std::vector<crash_mark>& marks);

} // namespace borageford::marks
