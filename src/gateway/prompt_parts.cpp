// Implementation of parse_shared_parts().
#include "gateway/prompt_parts.hpp"

#include "base/hash.hpp"
#include "base/parse_number.hpp"

#include <algorithm>
#include <string>

namespace borageford::gateway {

namespace {

/// Longer than any hash in hexadecimal.
constexpr std::size_t max_id_bytes = 128;

bool is_hexadecimal(char character) noexcept {
    return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'f') ||
           (character >= 'A' && character <= 'F');
}

char to_lower(char character) noexcept {
    return character >= 'A' && character <= 'F' ? static_cast<char>(character - 'A' + 'a') : character;
}

/// The id of "ID:TOKENS", in lower case; nothing if the text isn't of this form.
std::optional<std::string> parse_id(std::string_view entry) {
    const auto colon = entry.find(':');
    if (colon == std::string_view::npos || colon == 0 || colon > max_id_bytes ||
        !parse_number<std::uint64_t>(entry.substr(colon + 1)).has_value()) {
        return std::nullopt;
    }
    std::string id(entry.substr(0, colon));
    if (!std::ranges::all_of(id, is_hexadecimal)) {
        return std::nullopt;
    }
    std::ranges::transform(id, id.begin(), to_lower);
    return id;
}

} // namespace

std::optional<std::vector<std::uint64_t>> parse_shared_parts(std::string_view text) {
    std::vector<std::uint64_t> result;
    while (!text.empty()) {
        const auto comma = text.find(',');
        const auto id = parse_id(text.substr(0, comma));
        if (!id.has_value()) {
            return std::nullopt;
        }
        if (comma == std::string_view::npos) {
            return result;
        }
        const auto key = hash_bytes(*id);
        if (result.size() < max_shared_parts && std::ranges::find(result, key) == result.end()) {
            result.push_back(key);
        }
        text.remove_prefix(comma + 1);
    }
    // An empty text names no part. A comma at the end has no part behind it.
    return result.empty() ? std::optional(result) : std::nullopt;
}

} // namespace borageford::gateway
