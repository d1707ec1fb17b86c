// Writes events as one JSON object a line, bounded in number and never waiting for a reader.
#pragma once

#include "events/event_kind.hpp"

#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace borageford::events {

/// A value of a field. A std::string that is passed has to live until write() returns.
using field_value = std::variant<std::string_view, std::int64_t, std::uint64_t, double, bool>;

struct field {
    std::string_view name;
    field_value value;
};

/// Sets who writes, and that lines go to standard output. Call once, before any thread starts.
void start(std::string_view process, std::string_view vm, log::level lowest);

/// Writes one line, or counts it when its kind is over its rate or nobody reads.
void write(event_kind kind, std::initializer_list<field> fields = {});

/// Hands what was written to the kernel, as far as it takes it; to be called every few milliseconds. Lines
/// wait for it, so that one system call serves many.
void flush() noexcept;

/// Lines that were dropped since the start because nobody read them.
[[nodiscard]] std::uint64_t lost_lines() noexcept;

/// When a line was written.
struct line_time {
    line_time(std::string utc, std::chrono::milliseconds ahead = {})
        : text(std::move(utc)), clock_step(ahead) {}
    line_time(const char* utc) : text(utc) {}

    std::string text;                       ///< in UTC
    std::chrono::milliseconds clock_step{}; ///< how far the machine's clock is ahead of it; 0: hardly
};

/// One line as it is written, without its end: for tests, and for lines that are told elsewhere.
[[nodiscard]] std::string render(event_kind kind, std::initializer_list<field> fields, std::uint64_t left_out,
                                 const line_time& time);

} // namespace borageford::events
