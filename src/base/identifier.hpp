// Random 128-bit identifiers for requests, dispatches and process starts.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace borageford {

/// A random 128-bit identifier, unique across processes for practical purposes. Zero means "none".
struct identifier {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    /// Generates a new identifier. Each thread has its own generator, seeded once from the operating system's
    /// random source.
    [[nodiscard]] static identifier random();

    /// Parses 32 hexadecimal digits; returns std::nullopt for any other text.
    [[nodiscard]] static std::optional<identifier> parse(std::string_view text) noexcept;

    [[nodiscard]] bool is_none() const noexcept { return high == 0 && low == 0; }
    /// 32 lower-case hexadecimal digits.
    [[nodiscard]] std::string to_string() const;

    auto operator<=>(const identifier&) const = default;
};

/// Identifies one attempt to run a request on one backend server.
using dispatch_id = identifier;
/// Identifies a caller's request; returned to the caller in the response.
using request_id = identifier;

} // namespace borageford

template <>
struct std::hash<borageford::identifier> {
    std::size_t operator()(const borageford::identifier& value) const noexcept {
        return static_cast<std::size_t>(value.high ^ value.low);
    }
};
