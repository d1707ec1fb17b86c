// Implementation of parse_integer() and parse_tokens().
#include "gateway/stated_tokens.hpp"

#include <charconv>
#include <system_error>

namespace borageford::gateway {

namespace {

std::optional<double> parse_count(std::string_view text) noexcept {
    const auto value = parse_integer(text);
    return value.has_value() && *value >= 0 ? std::optional(static_cast<double>(*value)) : std::nullopt;
}

} // namespace

std::optional<std::int64_t> parse_integer(std::string_view text) noexcept {
    std::int64_t value = 0;
    const auto* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    return parsed.ec == std::errc{} && parsed.ptr == end ? std::optional(value) : std::nullopt;
}

std::optional<stated_tokens> parse_tokens(std::string_view text) noexcept {
    const auto comma = text.find(',');
    const auto prompt = parse_count(text.substr(0, comma));
    const auto max_output =
        comma == std::string_view::npos ? std::optional(0.0) : parse_count(text.substr(comma + 1));
    if (!prompt.has_value() || !max_output.has_value()) {
        return std::nullopt;
    }
    return stated_tokens{*prompt, *max_output};
}

} // namespace borageford::gateway
