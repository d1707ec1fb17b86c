// Renders events as JSON, limits their rate, and passes the lines through log4cplus into a line_buffer, whose
// writes never block.
#include "events/event_log.hpp"

#include "events/line_buffer.hpp"
#include "events/log_clock.hpp"
#include "events/rate_limiter.hpp"

#include <log4cplus/appender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>

#include <array>
#include <atomic>
#include <charconv>
#include <chrono>
#include <cmath>
#include <memory>
#include <mutex>
#include <unistd.h>

namespace borageford::events {
namespace {

/// Bytes. The buffer holds some thousand lines, many times as many as a burst of requests writes between two
/// flushes.
constexpr std::size_t buffer_capacity = 512U * 1024;

/// A log4cplus appender that adds each rendered line unchanged to a line_buffer.
class buffer_appender : public log4cplus::Appender {
public:
    explicit buffer_appender(line_buffer& buffer) : m_buffer(buffer) {}
    ~buffer_appender() override { destructorImpl(); }
    buffer_appender(const buffer_appender&) = delete;
    buffer_appender& operator=(const buffer_appender&) = delete;
    buffer_appender(buffer_appender&&) = delete;
    buffer_appender& operator=(buffer_appender&&) = delete;

    void close() override { m_buffer.flush(); }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent& event) override {
        m_buffer.add(event.getMessage());
    }

private:
    line_buffer& m_buffer;
};

struct log_state {
    log4cplus::Initializer initializer;
    line_buffer buffer{STDOUT_FILENO, buffer_capacity};
    std::mutex mutex;
    rate_limiter bound{std::chrono::steady_clock::now()}; ///< guarded by `mutex`
    log_clock clock{std::chrono::system_clock::now(), std::chrono::steady_clock::now()};
    std::string process = "borageford";
    std::string vm;
    std::atomic<std::uint64_t> reported_lost = 0;
    bool is_started = false;
};

log_state& shared_state() {
    static log_state state;
    return state;
}

log4cplus::LogLevel to_library(log::level severity) {
    switch (severity) {
    case log::level::debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case log::level::info:
        return log4cplus::INFO_LOG_LEVEL;
    case log::level::warning:
        return log4cplus::WARN_LOG_LEVEL;
    case log::level::error:
        break;
    }
    return log4cplus::ERROR_LOG_LEVEL;
}

std::string_view level_name(log::level severity) {
    switch (severity) {
    case log::level::debug:
        return "debug";
    case log::level::info:
        return "info";
    case log::level::warning:
        return "warning";
    case log::level::error:
        break;
    }
    return "error";
}

void append_escaped(std::string& line, std::string_view text) {
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr unsigned nibble = 4;
    for (const char c : text) {
        const auto code = static_cast<unsigned char>(c);
        if (c == '"' || c == '\\') {
            line.push_back('\\');
            line.push_back(c);
        } else if (code < ' ' || code > '~') {
            line.append("\\u00").push_back(digits[code >> nibble]);
            line.push_back(digits[code & 0xfU]);
        } else {
            line.push_back(c);
        }
    }
}

template <typename Number>
void append_number(std::string& line, Number value) {
    std::array<char, 32> text{};
    const auto end = std::to_chars(text.data(), text.data() + text.size(), value).ptr;
    line.append(text.data(), end);
}

/// Appends a value as JSON.
struct value_writer {
    std::string& line;

    void operator()(std::string_view text) const {
        line.push_back('"');
        append_escaped(line, text);
        line.push_back('"');
    }
    void operator()(std::int64_t value) const { append_number(line, value); }
    void operator()(std::uint64_t value) const { append_number(line, value); }
    void operator()(double value) const {
        constexpr double precision = 1000;
        append_number(line, std::isfinite(value) ? std::round(value * precision) / precision : 0.0);
    }
    void operator()(bool value) const { line.append(value ? "true" : "false"); }
};

line_time current_time(const log_clock& clock) {
    const auto now = std::chrono::steady_clock::now();
    return {format_log_time(clock.time(now)), clock.step(std::chrono::system_clock::now(), now)};
}

/// Adds the field `lost_lines` to a rendered line when more lines were lost since the field was last written.
void append_lost_lines(std::string& line) {
    auto& state = shared_state();
    const auto lost = state.buffer.lost();
    if (lost != state.reported_lost.exchange(lost)) {
        line.pop_back();
        line.append(R"(,"lost_lines":)");
        append_number(line, lost);
        line.push_back('}');
    }
}

} // namespace

void start(std::string_view process, std::string_view vm, log::level lowest) {
    auto& state = shared_state();
    state.process = process;
    state.vm = vm;
    state.is_started = true;
    auto root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    root.addAppender(log4cplus::SharedAppenderPtr(new buffer_appender(state.buffer)));
    root.setLogLevel(to_library(lowest));
}

std::string render(event_kind kind, std::initializer_list<field> fields, std::uint64_t left_out,
                   const line_time& time) {
    const auto& description = describe(kind);
    const auto& state = shared_state();
    std::string line;
    line.reserve(320);
    line.append(R"({"event":")").append(description.name);
    line.append(R"(","level":")").append(level_name(description.level));
    line.append(R"(","time":")").append(time.text);
    line.append(R"(","process":")").append(state.process);
    line.append(R"(","vm":")");
    append_escaped(line, state.vm);
    line.push_back('"');
    for (const auto& [name, value] : fields) {
        line.append(",\"").append(name).append("\":");
        std::visit(value_writer{line}, value);
    }
    if (left_out > 0) {
        line.append(R"(,"left_out":)");
        append_number(line, left_out);
    }
    if (time.clock_step != std::chrono::milliseconds(0)) {
        line.append(R"(,"clock_step_ms":)");
        append_number(line, time.clock_step.count());
    }
    line.push_back('}');
    return line;
}

void write(event_kind kind, std::initializer_list<field> fields) {
    auto& state = shared_state();
    auto root = log4cplus::Logger::getRoot();
    const auto level = to_library(describe(kind).level);
    if (!state.is_started || !root.isEnabledFor(level)) {
        return;
    }
    std::optional<std::uint64_t> left_out;
    {
        const std::scoped_lock lock(state.mutex);
        left_out = state.bound.admit(kind, std::chrono::steady_clock::now());
    }
    if (!left_out.has_value()) {
        return;
    }
    auto line = render(kind, fields, *left_out, current_time(state.clock));
    append_lost_lines(line);
    root.log(level, line);
}

void flush() noexcept {
    shared_state().buffer.flush();
}

std::uint64_t lost_lines() noexcept {
    return shared_state().buffer.lost();
}

} // namespace borageford::events
