// Takes typed values out of an INI section and collects every complaint: a key that is missing, unknown or
// out of range names its file, line and what was expected.
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

/// Reads "250ms", "2s", "5m", "1h". Nothing for other text.
[[nodiscard]] std::optional<std::chrono::milliseconds> parse_duration(std::string_view text);
/// Reads "512B", "16KiB", "4MiB", "1GiB". Nothing for other text.
[[nodiscard]] std::optional<std::uint64_t> parse_size(std::string_view text);
/// Splits "a, b, c"; empty parts are dropped.
[[nodiscard]] std::vector<std::string> split_list(std::string_view text);

/// Reads one section. Every read marks its key as known; finish() complains about the rest.
class section_reader {
public:
    /// `section` may be null: then only defaults are to be had, and required keys are missing.
    section_reader(const ini_document& document, const ini_section* section, std::string_view title,
                   std::vector<problem>& problems);

    [[nodiscard]] std::string text(std::string_view key);
    [[nodiscard]] std::string text(std::string_view key, std::string_view fallback);
    [[nodiscard]] std::vector<std::string> list(std::string_view key);
    [[nodiscard]] bool flag(std::string_view key, bool fallback);
    [[nodiscard]] std::int64_t number(std::string_view key, std::int64_t fallback, std::int64_t lowest,
                                      std::int64_t highest);
    [[nodiscard]] double real(std::string_view key, double fallback, double lowest, double highest);
    [[nodiscard]] std::chrono::milliseconds duration(std::string_view key, std::chrono::milliseconds fallback,
                                                     std::chrono::milliseconds lowest,
                                                     std::chrono::milliseconds highest);
    [[nodiscard]] std::uint64_t size(std::string_view key, std::uint64_t fallback, std::uint64_t lowest,
                                     std::uint64_t highest);
    [[nodiscard]] boost::asio::ip::tcp::endpoint address(std::string_view key);
    [[nodiscard]] std::optional<boost::asio::ip::tcp::endpoint> optional_address(std::string_view key);
    /// The index of the value among the choices.
    [[nodiscard]] std::size_t choice(std::string_view key, std::span<const std::string_view> choices,
                                     std::size_t fallback);

    /// Complains about a key's value in words of the caller's.
    void complain(std::string_view key, std::string expected);

    /// Complains about every key that nothing has read.
    void finish();

private:
    [[nodiscard]] const ini_entry* take(std::string_view key);
    [[nodiscard]] const ini_entry* require(std::string_view key, std::string_view expected);

    const ini_document& m_document;
    const ini_section* m_section;
    std::string m_title;
    std::vector<problem>& m_problems;
    std::vector<std::string> m_known;
};

} // namespace borageford::settings
