// Parses log lines in the format that events::render() writes.
#include "diagnosis/log_record.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <array>
#include <charconv>
#include <cstddef>
#include <utility>

namespace borageford::diagnosis {
namespace {

namespace json = boost::json;

/// Reads numbers with a fixed count of digits from the front of a text, each followed by a separator.
class number_reader {
public:
    explicit number_reader(std::string_view text) : m_text(text) {}

    /// Removes the next number and its separator from the text. When either differs from what is expected,
    /// the value is meaningless and is_good() is false from then on.
    unsigned read(std::size_t digits, char separator) {
        const auto part = m_text.substr(0, digits);
        unsigned value = 0;
        const auto read = std::from_chars(part.data(), part.data() + part.size(), value);
        const bool is_whole = part.size() == digits && read.ec == std::errc() && read.ptr == part.end();
        m_text.remove_prefix(part.size());
        m_is_good = m_is_good && is_whole && m_text.starts_with(separator);
        if (!m_text.empty()) {
            m_text.remove_prefix(1);
        }
        return value;
    }

    /// Whether every read succeeded and the text is used up.
    [[nodiscard]] bool is_good() const noexcept { return m_is_good && m_text.empty(); }

private:
    std::string_view m_text;
    bool m_is_good = true;
};

/// Removes a field from the object and returns its text; empty when the field is missing or no text.
std::string extract_text(json::object& object, std::string_view name) {
    const auto* value = object.if_contains(name);
    std::string result;
    if (value != nullptr && value->is_string()) {
        result = std::string(value->as_string());
    }
    object.erase(name);
    return result;
}

/// Removes a field from the object and returns its number; 0 when the field is missing or no number.
std::uint64_t extract_count(json::object& object, std::string_view name) {
    const auto* value = object.if_contains(name);
    boost::system::error_code error;
    const auto result = value != nullptr ? value->to_number<std::uint64_t>(error) : 0;
    object.erase(name);
    return error ? 0 : result;
}

/// Formats a number as in "2.1"; Boost.JSON would write 2.1E0.
std::string plain_number(double value) {
    constexpr std::size_t longest = 32;
    std::array<char, longest> text{};
    const auto end = std::to_chars(text.data(), text.data() + text.size(), value).ptr;
    return {text.data(), end};
}

/// Copies the fields that belong to the event, without the fields that every line has. The copy keeps the
/// order of the line, which json::object::erase() doesn't: it moves the last field into the gap.
json::object without_common_fields(const json::object& object) {
    json::object result;
    for (const auto& field : object) {
        const std::string_view name = field.key();
        const bool is_common = name == "event" || name == "level" || name == "time" || name == "process" ||
                               name == "vm" || name == "left_out" || name == "lost_lines";
        if (!is_common) {
            result.emplace(field.key(), field.value());
        }
    }
    return result;
}

} // namespace

std::string log_record::text(std::string_view field) const {
    const auto* value = fields.if_contains(field);
    if (value == nullptr) {
        return {};
    }
    if (value->is_string()) {
        return std::string(value->as_string());
    }
    return value->is_double() ? plain_number(value->as_double()) : json::serialize(*value);
}

std::int64_t log_record::number(std::string_view field) const {
    const auto* value = fields.if_contains(field);
    boost::system::error_code error;
    const auto result = value != nullptr ? value->to_number<std::int64_t>(error) : 0;
    return error ? 0 : result;
}

std::optional<log_time> read_log_time(std::string_view text) {
    number_reader reader(text);
    const std::chrono::year year(static_cast<int>(reader.read(4, '-')));
    const std::chrono::month month(reader.read(2, '-'));
    const std::chrono::day day(reader.read(2, 'T'));
    const std::chrono::hours hours(reader.read(2, ':'));
    const std::chrono::minutes minutes(reader.read(2, ':'));
    const std::chrono::seconds seconds(reader.read(2, '.'));
    const std::chrono::microseconds fraction(reader.read(6, 'Z'));
    const std::chrono::year_month_day date(year, month, day);
    if (!reader.is_good() || !date.ok()) {
        return std::nullopt;
    }
    return log_time(std::chrono::sys_days(date) + hours + minutes + seconds + fraction);
}

std::optional<log_record> read_log_record(std::string_view line) {
    const auto begin = line.find('{');
    if (begin == std::string_view::npos) {
        return std::nullopt;
    }
    boost::system::error_code error;
    auto value = json::parse(line.substr(begin), error);
    if (error || !value.is_object()) {
        return std::nullopt;
    }
    auto& object = value.as_object();
    log_record record;
    record.fields = without_common_fields(object);
    const auto time = read_log_time(extract_text(object, "time"));
    record.vm = extract_text(object, "vm");
    record.event = extract_text(object, "event");
    record.left_out = extract_count(object, "left_out");
    record.lost_lines = extract_count(object, "lost_lines");
    if (!time || record.event.empty()) {
        return std::nullopt;
    }
    record.time = *time;
    return record;
}

} // namespace borageford::diagnosis
