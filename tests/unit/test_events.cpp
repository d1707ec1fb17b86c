// Tests of the event log: the format of lines, the rate limit, the buffer before the output, the clock of the
// time stamps, and the table in docs/LOGS.md.
#include "events/event_log.hpp"
#include "events/line_buffer.hpp"
#include "events/log_clock.hpp"
#include "events/rate_limiter.hpp"

#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include <array>
#include <fstream>
#include <sstream>
#include <unistd.h>

using namespace borageford;
using namespace borageford::events;
using namespace std::chrono_literals;

namespace {

/// A pipe whose two ends are closed by the destructor.
class test_pipe {
public:
    test_pipe() { REQUIRE(::pipe(m_ends.data()) == 0); }
    ~test_pipe() {
        ::close(m_ends[0]);
        ::close(m_ends[1]);
    }
    test_pipe(const test_pipe&) = delete;
    test_pipe& operator=(const test_pipe&) = delete;
    test_pipe(test_pipe&&) = delete;
    test_pipe& operator=(test_pipe&&) = delete;

    [[nodiscard]] int writer() const { return m_ends[1]; }
    std::string read_some() const {
        std::array<char, 1 << 16> bytes{};
        const auto count = ::read(m_ends[0], bytes.data(), bytes.size());
        return {bytes.data(), static_cast<std::size_t>(std::max<ssize_t>(count, 0))};
    }

private:
    std::array<int, 2> m_ends{};
};

std::string read_page(const std::string& name) {
    std::ifstream file(std::string(DOCS_FOLDER) + "/" + name);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

TEST_CASE("a log line is one JSON object on one line, whatever characters a caller sent", "[events]") {
    const auto line =
        render(event_kind::request_refused,
               {{"request", "a\"b\n\x01\xff"}, {"status", std::uint64_t(503)}, {"held_ms", 1.23456}}, 7,
               "2026-01-01T00:00:00Z");
    CHECK(line.find('\n') == std::string::npos);
    const auto parsed = boost::json::parse(line).as_object();
    CHECK(parsed.at("event") == "request_refused");
    CHECK(parsed.at("status").to_number<int>() == 503);
    CHECK(parsed.at("left_out").to_number<int>() == 7);
    CHECK(parsed.at("held_ms").to_number<double>() == Approx(1.235));
}

TEST_CASE("a jump of the machine's clock changes neither the order nor the intervals of a process's lines",
          "[events]") {
    // The system clock jumps ahead by two seconds and then back, as happens on some machines. With its time
    // in the lines, an engineer would see a request refused before it arrived.
    const auto started = std::chrono::system_clock::time_point{} + 1000h;
    const auto at = std::chrono::steady_clock::time_point{} + 5h;
    const log_clock clock(started, at);
    CHECK(format_log_time(clock.time(at + 1s)) == "1970-02-11T16:00:01.000000Z");
    CHECK(clock.step(started + 1s + 20ms, at + 1s) == 0ms); // below the 100 ms that may be drift
    CHECK(clock.time(at + 2s) - clock.time(at + 1s) == 1s);
    CHECK(clock.step(started + 4s, at + 2s) == 2s);
    CHECK(clock.step(started + 3s - 1h, at + 3s) == -1h);
    CHECK(clock.time(at + 3s) > clock.time(at + 2s));
    const auto line = render(event_kind::backend_gone, {}, 0, {format_log_time(clock.time(at + 2s)), 2s});
    CHECK(boost::json::parse(line).as_object().at("clock_step_ms").to_number<int>() == 2000);
}

TEST_CASE("each kind of event has its own rate limit and counts the lines it drops", "[events]") {
    const policy::time_point now = policy::time_point{} + 1h;
    rate_limiter bound(now);
    std::uint64_t admitted = 0;
    for (int index = 0; index < 10000; ++index) {
        admitted += bound.admit(event_kind::request_answered, now).has_value() ? 1 : 0;
    }
    CHECK(admitted == Approx(2 * describe(event_kind::request_answered).lines_per_second));
    CHECK(bound.admit(event_kind::request_refused, now) == 0);
    CHECK(bound.admit(event_kind::request_answered, now + 1s) == 10000 - admitted);
}

TEST_CASE("a pipe that nobody reads causes counted lost lines, but no blocked write", "[events]") {
    // The process that reads the log hangs: a blocking write to the full pipe would stop this process too.
    const test_pipe pipe;
    line_buffer buffer(pipe.writer(), 100'000);
    const std::string line(999, 'x');
    for (int index = 0; index < 1000; ++index) {
        buffer.add(line);
        buffer.flush();
    }
    CHECK(buffer.lost() > 500);
    CHECK_FALSE(buffer.is_empty());
    std::string received;
    while (!buffer.is_empty()) {
        received += pipe.read_some();
        buffer.flush();
    }
    received += pipe.read_some();
    CHECK(received.size() == (1000 - buffer.lost()) * 1000);
    CHECK(received.ends_with("x\n"));
}

TEST_CASE("docs/LOGS.md lists every kind of event with its fields", "[events][docs]") {
    const auto page = read_page("LOGS.md");
    for (const auto& description : event_descriptions()) {
        std::string row = "| `" + std::string(description.name) + "` | ";
        row.append(description.meaning).append(" | ").append(description.fields).append(" |");
        INFO(row);
        CHECK(page.find(row) != std::string::npos);
    }
}
