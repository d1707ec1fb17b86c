// Composes and parses the object store keys of batches.
#include "audit/batch_key.hpp"

#include "base/parse_number.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <vector>

namespace borageford::audit {
namespace {

constexpr std::size_t part_count = 7;
constexpr int sequence_digits = 8;

bool is_plain(char letter) {
    return (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z') ||
           (letter >= '0' && letter <= '9') || letter == '.' || letter == '_' || letter == '-';
}

std::vector<std::string_view> split(std::string_view text, char separator) {
    std::vector<std::string_view> parts;
    while (true) {
        const auto end = text.find(separator);
        parts.push_back(text.substr(0, end));
        if (end == std::string_view::npos) {
            return parts;
        }
        text.remove_prefix(end + 1);
    }
}

std::optional<minute_point> parse_minute(std::string_view date, std::string_view hour,
                                         std::string_view minute) {
    const auto date_parts = split(date, '-');
    if (date_parts.size() != 3) {
        return std::nullopt;
    }
    const auto year_number = parse_number<int>(date_parts[0]);
    const auto month_number = parse_number<unsigned>(date_parts[1]);
    const auto day_number = parse_number<unsigned>(date_parts[2]);
    const auto hour_number = parse_number<unsigned>(hour);
    const auto minute_number = parse_number<unsigned>(minute);
    if (!year_number || !month_number || !day_number || !hour_number || !minute_number) {
        return std::nullopt;
    }
    const std::chrono::year_month_day day{std::chrono::year(*year_number), std::chrono::month(*month_number),
                                          std::chrono::day(*day_number)};
    if (!day.ok() || *hour_number > 23 || *minute_number > 59) {
        return std::nullopt;
    }
    return minute_point(std::chrono::sys_days(day)) + std::chrono::hours(*hour_number) +
           std::chrono::minutes(*minute_number);
}

std::string unescape_writer(std::string_view text) {
    std::string out;
    for (std::size_t index = 0; index < text.size(); ++index) {
        const auto code =
            text[index] == '~' ? parse_number<unsigned char>(text.substr(index + 1, 2), 16) : std::nullopt;
        if (!code) {
            out += text[index];
            continue;
        }
        out += static_cast<char>(*code);
        index += 2;
    }
    return out;
}

} // namespace

std::string escape_writer(std::string_view writer) {
    std::string out;
    for (const char letter : writer) {
        if (is_plain(letter)) {
            out += letter;
            continue;
        }
        std::array<char, 4> code{};
        std::snprintf(code.data(), code.size(), "~%02X", static_cast<unsigned char>(letter));
        out += code.data();
    }
    return out;
}

std::string key_prefix(minute_point minute, std::string_view role) {
    const auto day = std::chrono::floor<std::chrono::days>(minute);
    const std::chrono::year_month_day date(day);
    const std::chrono::hh_mm_ss clock(minute - day);
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "audit/%04d-%02u-%02u/%02d/%02d/", static_cast<int>(date.year()),
                  static_cast<unsigned>(date.month()), static_cast<unsigned>(date.day()),
                  static_cast<int>(clock.hours().count()), static_cast<int>(clock.minutes().count()));
    return std::string(text.data()).append(role).append("/");
}

std::string key_prefix(minute_point minute, std::string_view role, std::string_view writer) {
    return key_prefix(minute, role).append(escape_writer(writer)).append("/");
}

std::string batch_key::to_string() const {
    std::array<char, 32> number{};
    std::snprintf(number.data(), number.size(), "%0*llu-", sequence_digits,
                  static_cast<unsigned long long>(sequence));
    return key_prefix(minute, role, writer).append(number.data()).append(incarnation.to_string());
}

std::optional<batch_key> batch_key::parse(std::string_view text) {
    const auto parts = split(text, '/');
    if (parts.size() != part_count || parts[0] != "audit") {
        return std::nullopt;
    }
    const auto minute = parse_minute(parts[1], parts[2], parts[3]);
    const auto dash = parts[6].find('-');
    if (!minute || dash == std::string_view::npos) {
        return std::nullopt;
    }
    const auto sequence = parse_number<std::uint64_t>(parts[6].substr(0, dash));
    const auto incarnation = identifier::parse(parts[6].substr(dash + 1));
    if (!sequence || !incarnation) {
        return std::nullopt;
    }
    return batch_key{*minute, std::string(parts[4]), unescape_writer(parts[5]), *sequence, *incarnation};
}

} // namespace borageford::audit
