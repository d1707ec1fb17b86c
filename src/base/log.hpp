// Structured logging with log4cplus. Each line names one event and has named fields.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace borageford::log {

/// The severity of a log line.
enum class level : std::uint8_t { debug, info, warning, error };
/// Whether lines are written as "event key=value" or as one JSON object per line.
enum class format : std::uint8_t { text, json };

/// A named value in a log line.
struct field {
    std::string_view name;
    std::string value;
};

/// Sets the line format and the lowest level that is written; lines go to standard error. `process` is added
/// to JSON lines. Call once, before any thread starts.
void start(format line_format, level lowest, std::string_view process);

/// Writes one line with the name of the event and its fields, unless the level is disabled.
void write(level severity, std::string_view event, std::initializer_list<field> fields = {});

inline void info(std::string_view event, std::initializer_list<field> fields = {}) {
    write(level::info, event, fields);
}
inline void warning(std::string_view event, std::initializer_list<field> fields = {}) {
    write(level::warning, event, fields);
}
inline void error(std::string_view event, std::initializer_list<field> fields = {}) {
    write(level::error, event, fields);
}

} // namespace borageford::log
