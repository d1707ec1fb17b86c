// Implementation of parse_tokens().
#include "gateway/stated_tokens.hpp"

#include "base/parse_number.hpp"

#include <cstdint>

namespace borageford::gateway {

namespace {

std::optional<double> parse_count(std::string_view text) noexcept {
    const auto value = parse_number<std::int64_t>(text);
    return value.has_value() && *value >= 0 ? std::optional(static_cast<double>(*value)) : std::nullopt;
}

} // namespace

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
