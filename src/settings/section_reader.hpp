// Reads typed values from an INI section and collects all problems: each missing, unknown or invalid key is
// reported with its file, its line and what was expected.
#pragma once

#include "settings/ini_document.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace borageford::settings {

/// Parses a duration with its unit: "250ms", "2s", "5m" (minutes), "1h". Returns nothing for other text.
[[nodiscard]] std::optional<std::chrono::milliseconds> parse_duration(std::string_view text);
/// Parses a size with its unit into bytes: "512B", "16KiB", "4MiB", "1GiB". Returns nothing for other text.
[[nodiscard]] std::optional<std::uint64_t> parse_size(std::string_view text);
/// Splits a comma-separated list such as "a, b, c". Spaces around the parts and empty parts are dropped.
[[nodiscard]] std::vector<std::string> split_list(std::string_view text);

/// Reads one section. Each member function that reads a value marks its key as known; report_unknown_keys()
/// reports the keys that are not known. A value that is invalid or out of range is reported as a problem and
/// replaced by the fallback.
class section_reader {
public:
    /// `section` may be null if the file doesn't have the section: every key then has its fallback value, and
    /// required keys are reported as missing. `title` is the section's title shown in problems.
    section_reader(const ini_document& document, const ini_section* section, std::string_view title,
                   std::vector<problem>& problems);

    /// A required key. A missing key and an empty value are problems.
    [[nodiscard]] std::string text(std::string_view key);
    [[nodiscard]] std::string text(std::string_view key, std::string_view fallback);
    /// The parts of a comma-separated value; empty if the key is missing.
    [[nodiscard]] std::vector<std::string> list(std::string_view key);
    /// A "yes" or "no" value.
    [[nodiscard]] bool flag(std::string_view key, bool fallback);
    /// An integer from `lowest` to `highest`, both included.
    [[nodiscard]] std::int64_t number(std::string_view key, std::int64_t fallback, std::int64_t lowest,
                                      std::int64_t highest);
    [[nodiscard]] double real(std::string_view key, double fallback, double lowest, double highest);
    [[nodiscard]] std::chrono::milliseconds duration(std::string_view key, std::chrono::milliseconds fallback,
                                                     std::chrono::milliseconds lowest,
                                                     std::chrono::milliseconds highest);
    /// A size in bytes.
    [[nodiscard]] std::uint64_t size(std::string_view key, std::uint64_t fallback, std::uint64_t lowest,
                                     std::uint64_t highest);
    /// A required IP address with a port. If the key is missing or its value invalid, the result is a
    /// default-constructed endpoint.
    [[nodiscard]] boost::asio::ip::tcp::endpoint address(std::string_view key);
    /// An IP address with a port; nothing if the key is missing.
    [[nodiscard]] std::optional<boost::asio::ip::tcp::endpoint> optional_address(std::string_view key);
    /// The index of the value in `choices`. `fallback` is an index, too.
    [[nodiscard]] std::size_t choice(std::string_view key, std::span<const std::string_view> choices,
                                     std::size_t fallback);

    /// Appends a problem with this key. `expected` describes a valid value; the value found is added to it.
    void report_problem(std::string_view key, std::string expected);

    /// Reports every key of the section that no call has asked for. Called after all known keys were read.
    void report_unknown_keys();

private:
    /// Marks the key as known and returns its entry; null if the section doesn't have it.
    [[nodiscard]] const ini_entry* find_and_mark_known(std::string_view key);
    /// The same as find_and_mark_known(), but reports a missing key as a problem.
    [[nodiscard]] const ini_entry* require(std::string_view key, std::string_view expected);

    const ini_document& m_document;
    const ini_section* m_section;
    std::string m_title;
    std::vector<problem>& m_problems;
    std::vector<std::string> m_known_keys;
};

} // namespace borageford::settings
