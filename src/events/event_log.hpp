// Writes events to standard output, one JSON object a line. The number of lines per second is limited, and a
// write never waits until somebody reads the output.
#pragma once

#include "events/event_kind.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace borageford::events {

/// The value of a field. Text isn't copied: a std::string that is passed must live until write() returns.
using field_value = std::variant<std::string_view, std::int64_t, std::uint64_t, double, bool>;

/// One named value of a log line.
struct field {
    std::string_view name;
    field_value value;
};

/// The beginning of an unreadable value that was received, as it is logged: a header field may be thousands
/// of bytes long.
[[nodiscard]] constexpr std::string_view excerpt(std::string_view value) noexcept {
    constexpr std::size_t max_logged_bytes = 40;
    return value.substr(0, max_logged_bytes);
}

/// Sets the process and VM names that every line contains and the lowest level that is written, and directs
/// the lines to standard output. Must be called once, before any thread starts; without it write() does
/// nothing.
void start(std::string_view process, std::string_view vm, log::level lowest);

/// Writes one line to the buffer. The line is only counted when its kind has exceeded its rate limit, or when
/// the buffer is full because nobody reads the output.
void write(event_kind kind, std::initializer_list<field> fields = {});

/// Writes the buffered lines to standard output as far as that is possible without blocking. Call it every
/// few milliseconds: lines stay in the buffer until then, so that one system call writes many of them.
void flush() noexcept;

/// How many lines were dropped since the process started because the buffer was full.
[[nodiscard]] std::uint64_t lost_lines() noexcept;

/// The time stamp of a line.
struct line_time {
    line_time(std::string utc, std::chrono::milliseconds ahead = {})
        : text(std::move(utc)), clock_step(ahead) {}
    line_time(const char* utc) : text(utc) {}

    std::string text; ///< in UTC, as format_log_time() writes it
    /// How far the system clock is ahead of `text`; 0 when the difference is below 100 ms.
    std::chrono::milliseconds clock_step{};
};

/// The JSON text of one line, without a line end: for tests, and for lines that are written elsewhere.
/// `left_out` is the number of lines of this kind dropped before this one.
[[nodiscard]] std::string render(event_kind kind, std::initializer_list<field> fields, std::uint64_t left_out,
                                 const line_time& time);

} // namespace borageford::events
