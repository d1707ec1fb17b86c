// Parses one line of a gateway's log into a record.
#pragma once

#include <boost/json/object.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace borageford::diagnosis {

/// The time of a log line, in UTC.
using log_time = std::chrono::time_point<std::chrono::system_clock, std::chrono::microseconds>;

/// One log line: the fields that every line has, and the fields of its event.
struct log_record {
    log_time time;
    std::string vm;
    std::string event;            ///< the event's name, as in events::event_description::name
    std::uint64_t left_out = 0;   ///< lines of this kind that the rate limit dropped before this one
    std::uint64_t lost_lines = 0; ///< lines dropped since the process started because nobody read its log
    boost::json::object fields;   ///< only the fields that belong to the event, in the order of the line

    /// The value of a field as text; empty when the line has no such field.
    [[nodiscard]] std::string text(std::string_view field) const;
    /// The value of a field as a number; 0 when the line has no such field or its value is no number.
    [[nodiscard]] std::int64_t number(std::string_view field) const;
};

/// Parses a line; text before the first '{', such as the prefix of a log collector, is skipped. Returns
/// nothing when the line isn't a line of a gateway's log.
[[nodiscard]] std::optional<log_record> read_log_record(std::string_view line);

/// Parses a time in UTC such as 2026-04-05T07:54:15.040355Z. Returns nothing when the text has another
/// format.
[[nodiscard]] std::optional<log_time> read_log_time(std::string_view text);

} // namespace borageford::diagnosis
