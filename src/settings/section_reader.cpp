// Converts the text values of an INI section to numbers, durations, sizes and addresses, with range checks.
#include "settings/section_reader.hpp"

#include "base/parse_number.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>
#include <utility>

namespace borageford::settings {
namespace {

struct unit {
    std::string_view name;
    std::uint64_t factor;
};

constexpr std::array duration_units{unit{"ms", 1}, unit{"s", 1000}, unit{"m", 60'000}, unit{"h", 3'600'000}};
constexpr std::array size_units{unit{"B", 1}, unit{"KiB", 1024}, unit{"MiB", 1024 * 1024},
                                unit{"GiB", 1024 * 1024 * 1024}};

std::optional<std::uint64_t> parse_with_unit(std::string_view text, std::span<const unit> units) {
    std::uint64_t count = 0;
    const auto* last = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), last, count);
    if (parsed.ec != std::errc{}) {
        return std::nullopt;
    }
    const std::string_view name(parsed.ptr, static_cast<std::size_t>(last - parsed.ptr));
    const auto found = std::ranges::find(units, name, &unit::name);
    if (found == units.end() || count > std::numeric_limits<std::int64_t>::max() / found->factor) {
        return std::nullopt;
    }
    return count * found->factor;
}

std::string range_text(std::string_view what, const std::string& lowest, const std::string& highest) {
    return std::string(what) + " from " + lowest + " to " + highest;
}

std::string size_text(std::uint64_t bytes) {
    for (auto index = size_units.size(); index-- > 0;) {
        if (bytes >= size_units.at(index).factor && bytes % size_units.at(index).factor == 0) {
            return std::to_string(bytes / size_units.at(index).factor) +
                   std::string(size_units.at(index).name);
        }
    }
    return std::to_string(bytes) + "B";
}

std::optional<boost::asio::ip::tcp::endpoint> parse_address(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    auto host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(std::string(host), error);
    const auto port = parse_number<std::uint16_t>(text.substr(colon + 1));
    if (error || !port) {
        return std::nullopt;
    }
    return boost::asio::ip::tcp::endpoint(address, *port);
}

constexpr std::string_view address_expected = "an IP number and a port, for example 127.0.0.1:8080";

} // namespace

std::optional<std::chrono::milliseconds> parse_duration(std::string_view text) {
    const auto value = parse_with_unit(text, duration_units);
    if (!value) {
        return std::nullopt;
    }
    return std::chrono::milliseconds(*value);
}

std::optional<std::uint64_t> parse_size(std::string_view text) {
    return parse_with_unit(text, size_units);
}

std::vector<std::string> split_list(std::string_view text) {
    std::vector<std::string> parts;
    while (!text.empty()) {
        const auto comma = std::min(text.find(','), text.size());
        auto part = text.substr(0, comma);
        while (!part.empty() && part.front() == ' ') {
            part.remove_prefix(1);
        }
        while (!part.empty() && part.back() == ' ') {
            part.remove_suffix(1);
        }
        if (!part.empty()) {
            parts.emplace_back(part);
        }
        text.remove_prefix(std::min(comma + 1, text.size()));
    }
    return parts;
}

section_reader::section_reader(const ini_document& document, const ini_section* section,
                               std::string_view title, std::vector<problem>& problems)
    : m_document(document), m_section(section), m_title(title), m_problems(problems) {}

const ini_entry* section_reader::find_and_mark_known(std::string_view key) {
    m_known_keys.emplace_back(key);
    return m_section == nullptr ? nullptr : m_section->find(key);
}

const ini_entry* section_reader::require(std::string_view key, std::string_view expected) {
    const auto* entry = find_and_mark_known(key);
    if (entry == nullptr) {
        report_problem(key, std::string(expected) + " (the key is required)");
    }
    return entry;
}

void section_reader::report_problem(std::string_view key, std::string expected) {
    const auto* entry = m_section == nullptr ? nullptr : m_section->find(key);
    unsigned line = m_section == nullptr ? 0 : m_section->line;
    if (entry != nullptr) {
        line = entry->line;
        expected += ", found \"" + entry->value + "\"";
    }
    m_problems.push_back({m_document.file, line, m_title + "." + std::string(key), std::move(expected)});
}

std::string section_reader::text(std::string_view key) {
    const auto* entry = require(key, "a value");
    if (entry != nullptr && entry->value.empty()) {
        report_problem(key, "a value that isn't empty");
    }
    return entry == nullptr ? std::string() : entry->value;
}

std::string section_reader::text(std::string_view key, std::string_view fallback) {
    const auto* entry = find_and_mark_known(key);
    return entry == nullptr ? std::string(fallback) : entry->value;
}

std::vector<std::string> section_reader::list(std::string_view key) {
    const auto* entry = find_and_mark_known(key);
    return entry == nullptr ? std::vector<std::string>() : split_list(entry->value);
}

bool section_reader::flag(std::string_view key, bool fallback) {
    constexpr std::array<std::string_view, 2> choices{"no", "yes"};
    return choice(key, choices, fallback ? 1 : 0) == 1;
}

std::int64_t section_reader::number(std::string_view key, std::int64_t fallback, std::int64_t lowest,
                                    std::int64_t highest) {
    const auto* entry = find_and_mark_known(key);
    if (entry == nullptr) {
        return fallback;
    }
    const auto value = parse_number<std::int64_t>(entry->value);
    if (!value || *value < lowest || *value > highest) {
        report_problem(key, range_text("a whole number", std::to_string(lowest), std::to_string(highest)));
        return fallback;
    }
    return *value;
}

double section_reader::real(std::string_view key, double fallback, double lowest, double highest) {
    const auto* entry = find_and_mark_known(key);
    if (entry == nullptr) {
        return fallback;
    }
    const auto value = parse_number<double>(entry->value);
    if (!value || !(*value >= lowest && *value <= highest)) {
        report_problem(key, range_text("a number", std::to_string(lowest), std::to_string(highest)));
        return fallback;
    }
    return *value;
}

std::chrono::milliseconds section_reader::duration(std::string_view key, std::chrono::milliseconds fallback,
                                                   std::chrono::milliseconds lowest,
                                                   std::chrono::milliseconds highest) {
    const auto* entry = find_and_mark_known(key);
    if (entry == nullptr) {
        return fallback;
    }
    const auto value = parse_duration(entry->value);
    if (!value || *value < lowest || *value > highest) {
        report_problem(key, range_text("a duration with its unit (ms, s, m, h)",
                                       std::to_string(lowest.count()) + "ms",
                                       std::to_string(highest.count()) + "ms"));
        return fallback;
    }
    return *value;
}

std::uint64_t section_reader::size(std::string_view key, std::uint64_t fallback, std::uint64_t lowest,
                                   std::uint64_t highest) {
    const auto* entry = find_and_mark_known(key);
    if (entry == nullptr) {
        return fallback;
    }
    const auto value = parse_size(entry->value);
    if (!value || *value < lowest || *value > highest) {
        report_problem(key, range_text("a size with its unit (B, KiB, MiB, GiB)", size_text(lowest),
                                       size_text(highest)));
        return fallback;
    }
    return *value;
}

boost::asio::ip::tcp::endpoint section_reader::address(std::string_view key) {
    const auto* entry = require(key, address_expected);
    if (entry == nullptr) {
        return {};
    }
    const auto value = parse_address(entry->value);
    if (!value) {
        report_problem(key, std::string(address_expected));
    }
    return value.value_or(boost::asio::ip::tcp::endpoint());
}

std::optional<boost::asio::ip::tcp::endpoint> section_reader::optional_address(std::string_view key) {
    if (m_section == nullptr || m_section->find(key) == nullptr) {
        m_known_keys.emplace_back(key);
        return std::nullopt;
    }
    return address(key);
}

std::size_t section_reader::choice(std::string_view key, std::span<const std::string_view> choices,
                                   std::size_t fallback) {
    const auto* entry = find_and_mark_known(key);
    if (entry == nullptr) {
        return fallback;
    }
    const auto found = std::ranges::find(choices, entry->value);
    if (found != choices.end()) {
        return static_cast<std::size_t>(found - choices.begin());
    }
    std::string expected = "one of";
    for (const auto& choice : choices) {
        expected.append(" ").append(choice);
    }
    report_problem(key, std::move(expected));
    return fallback;
}

void section_reader::report_unknown_keys() {
    if (m_section == nullptr) {
        return;
    }
    for (const auto& entry : m_section->entries) {
        if (std::ranges::find(m_known_keys, entry.key) != m_known_keys.end()) {
            continue;
        }
        std::string expected = "a known key; this section has";
        for (const auto& key : m_known_keys) {
            expected.append(" ").append(key);
        }
        m_problems.push_back({m_document.file, entry.line, m_title + "." + entry.key, std::move(expected)});
    }
}

} // namespace borageford::settings
