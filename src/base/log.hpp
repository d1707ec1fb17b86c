// Structured log lines over log4cplus: one line a change of state, with fields in a fixed form.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace borageford::log {

enum class level : std::uint8_t { debug, info, warning, error };
enum class format : std::uint8_t { text, json };

/// One named value of a line.
struct field {
    std::string_view name;
    std::string value;
};

/// Sets where lines go (standard error) and how they look. Call once, before any thread starts.
void start(format line_format, level lowest, std::string_view process);

/// Writes one line: what happened, and its fields.
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
