// Reads from a header field which parts of its prompt a request shares with other requests.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace borageford::gateway {

/// At most this many parts of a prompt are looked at, the first ones. They are the ones that most requests
/// share; a prompt has a few.
inline constexpr std::size_t max_shared_parts = 32;

/// Parses "ID:TOKENS,ID:TOKENS,...", with ids in hexadecimal, and returns hashes of all ids but the last,
/// each once and in their order: the last part belongs to the request itself. Returns nothing if the text
/// isn't of this form.
[[nodiscard]] std::optional<std::vector<std::uint64_t>> parse_shared_parts(std::string_view text);

} // namespace borageford::gateway
