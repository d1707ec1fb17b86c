// Parses texts that consist of one number.
#pragma once

#include <charconv>
#include <concepts>
#include <optional>
#include <string_view>
#include <system_error>

namespace borageford {

/// Parses a decimal number; returns nothing for any other text, also if it only begins with a number, has
/// blanks or a plus sign, or is out of range.
template <typename Number>
[[nodiscard]] std::optional<Number> parse_number(std::string_view text) noexcept {
    Number value{};
    const auto* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    return parsed.ec == std::errc{} && parsed.ptr == end ? std::optional(value) : std::nullopt;
}

/// Like the other parse_number(), for a number with another base than 10.
template <std::integral Number>
[[nodiscard]] std::optional<Number> parse_number(std::string_view text, int base) noexcept {
    Number value{};
    const auto* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value, base);
    return parsed.ec == std::errc{} && parsed.ptr == end ? std::optional(value) : std::nullopt;
}

} // namespace borageford
