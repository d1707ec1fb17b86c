// Random 128-bit identifiers: requests, dispatches, incarnations.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace borageford {

/// An identifier that no two processes draw alike; the zero value means "none".
struct identifier {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    /// Draws a new one from the operating system's random source, reseeded per thread.
    [[nodiscard]] static identifier random();

    /// Reads 32 hexadecimal digits; nothing for any other text.
    [[nodiscard]] static std::optional<identifier> parse(std::string_view text) noexcept;

    [[nodiscard]] bool is_none() const noexcept { return high == 0 && low == 0; }
    [[nodiscard]] std::string to_string() const;

    auto operator<=>(const identifier&) const = default;
};

/// Names one attempt to run a request at one backend server.
using dispatch_id = identifier;
/// Names a caller's request; shown to the caller.
using request_id = identifier;

} // namespace borageford

template <>
struct std::hash<borageford::identifier> {
    std::size_t operator()(const borageford::identifier& value) const noexcept {
        return static_cast<std::size_t>(value.high ^ value.low);
    }
};
