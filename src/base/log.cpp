// Formats log lines as text ("event key=value") or JSON and writes them with log4cplus.
#include "base/log.hpp"

#include <boost/json.hpp>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <algorithm>
#include <memory>

namespace borageford::log {
namespace {

struct log_state {
    log4cplus::Initializer initializer;
    format line_format = format::text;
    std::string process = "borageford";
};

log_state& shared_state() {
    static log_state state;
    return state;
}

log4cplus::LogLevel to_library(level severity) {
    switch (severity) {
    case level::debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case level::info:
        return log4cplus::INFO_LOG_LEVEL;
    case level::warning:
        return log4cplus::WARN_LOG_LEVEL;
    case level::error:
        break;
    }
    return log4cplus::ERROR_LOG_LEVEL;
}

bool needs_quotes(std::string_view value) {
    return value.empty() ||
           std::ranges::any_of(value, [](char c) { return c <= ' ' || c == '"' || c == '='; });
}

std::string as_text(std::string_view event, std::initializer_list<field> fields) {
    std::string line(event);
    for (const auto& [name, value] : fields) {
        line.append(" ").append(name).append("=");
        line += needs_quotes(value) ? boost::json::serialize(boost::json::string(value)) : value;
    }
    return line;
}

std::string as_json(std::string_view event, std::initializer_list<field> fields) {
    boost::json::object object{{"process", shared_state().process}, {"event", event}};
    for (const auto& [name, value] : fields) {
        object.emplace(name, value);
    }
    return boost::json::serialize(object);
}

} // namespace

void start(format line_format, level lowest, std::string_view process) {
    auto& state = shared_state();
    state.line_format = line_format;
    state.process = process;
    auto root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    const bool logs_to_standard_error = true;
    log4cplus::SharedAppenderPtr appender(
        new log4cplus::ConsoleAppender(logs_to_standard_error, /*immediateFlush=*/true));
    const auto* pattern = line_format == format::text ? "%D{%Y-%m-%dT%H:%M:%S.%q} %-5p %m%n" : "%m%n";
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(pattern));
    root.addAppender(appender);
    root.setLogLevel(to_library(lowest));
}

void write(level severity, std::string_view event, std::initializer_list<field> fields) {
    auto root = log4cplus::Logger::getRoot();
    const auto library_level = to_library(severity);
    if (!root.isEnabledFor(library_level)) {
        return;
    }
    const bool text = shared_state().line_format == format::text;
    root.log(library_level, text ? as_text(event, fields) : as_json(event, fields));
}

} // namespace borageford::log
