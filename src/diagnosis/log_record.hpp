// One line of a gateway's log, read back.
#pragma once

#include <boost/json/object.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace borageford::diagnosis {

using log_time = std::chrono::time_point<std::chrono::system_clock, std::chrono::microseconds>;

struct log_record {
    log_time time;
    std::string vm;
    std::string event;            ///< the name in docs/LOGS.md
    std::uint64_t left_out = 0;   ///< lines of this kind that weren't written before this one
    std::uint64_t lost_lines = 0; ///< lines of the process that nobody read, since its start
    boost::json::object fields;   ///< those of the event alone, in the order of the line

    /// The field as text; empty when the line has none of this name.
    [[nodiscard]] std::string text(std::string_view field) const;
    /// The field as a number; 0 when the line has none of this name.
    [[nodiscard]] std::int64_t number(std::string_view field) const;
};

/// Reads a line, also behind what a collector of logs has put before it. Nothing when it is no line of a
/// gateway's log.
[[nodiscard]] std::optional<log_record> read_log_record(std::string_view line);

/// Microseconds since 1970 of a time such as 2026-04-05T07:54:15.040355Z, in UTC.
[[nodiscard]] std::optional<log_time> read_log_time(std::string_view text);

} // namespace borageford::diagnosis
