// Tests of parsing log lines and of printing the timeline of one request from them.
#include "diagnosis/log_record.hpp"
#include "diagnosis/request_timeline.hpp"
#include "events/event_log.hpp"

#include <catch2/catch.hpp>

#include <chrono>
#include <sstream>
#include <string>

using namespace borageford;
using namespace borageford::diagnosis;

namespace {

/// A log line of a gateway on `vm`, with a time that is `milliseconds` after 2026-03-01T10:00:00Z.
std::string line_of(const std::string& vm, int milliseconds, const std::string& event,
                    const std::string& fields) {
    auto fraction = std::to_string(milliseconds);
    fraction.insert(0, 3 - fraction.size(), '0');
    return R"({"event":")" + event + R"(","level":"info","time":"2026-03-01T10:00:00.)" + fraction +
           R"(000Z","process":"gateway","vm":")" + vm + R"(",)" + fields + "}";
}

void add(request_timeline& timeline, const std::string& line) {
    auto record = read_log_record(line);
    REQUIRE(record);
    timeline.add(std::move(*record));
}

std::string printed(const request_timeline& timeline) {
    std::ostringstream out;
    timeline.print(out);
    return out.str();
}

} // namespace

TEST_CASE("a log line that was written can be parsed", "[diagnosis]") {
    const auto line = events::render(events::event_kind::request_refused,
                                     {{"request", "a\"b"}, {"status", std::uint64_t(503)}, {"held_ms", 1.5}},
                                     7, "2026-03-01T10:00:00.250000Z");
    const auto record = read_log_record("edge-1 stdout: " + line);
    REQUIRE(record);
    CHECK(record->event == "request_refused");
    CHECK(record->left_out == 7);
    CHECK(record->text("request") == "a\"b");
    CHECK(record->number("status") == 503);
    CHECK(record->time.time_since_epoch() % std::chrono::seconds(1) == std::chrono::milliseconds(250));
    CHECK_FALSE(record->fields.contains("vm"));
}

TEST_CASE("lines that are no log lines are ignored", "[diagnosis]") {
    CHECK_FALSE(read_log_record(""));
    CHECK_FALSE(read_log_record("Mar 01 kernel: out of memory"));
    CHECK_FALSE(read_log_record("{\"event\":\"started\""));
    CHECK_FALSE(read_log_record("{\"event\":\"started\"}"));
    CHECK_FALSE(read_log_record("{\"event\":\"started\",\"time\":\"yesterday\"}"));
    CHECK_FALSE(read_log_time("2026-13-01T10:00:00.000000Z"));
    CHECK_FALSE(read_log_time("2026-03-01T10:00:00.000Z"));
}

TEST_CASE("the timeline of a refused request has the coordinator's reason and the state that was assumed",
          "[diagnosis]") {
    request_timeline timeline("r1");
    add(timeline, line_of("edge-1", 300, "request_refused",
                          R"("request":"r1","ticket":77,"error":"overloaded","status":503,)"
                          R"("reason":"no slot in time","held_ms":180,"tries":0,"retry_after_ms":900)"));
    add(timeline,
        line_of("edge-2", 299, "slot_refused",
                R"("ticket":77,"member":"10.0.0.1","reason":"overloaded","needed":2.1,"available":0.7)"));
    add(timeline, line_of("edge-2", 290, "slot_refused", R"("ticket":78,"reason":"over_allowance")"));
    add(timeline, line_of("edge-2", 100, "backend_resting", R"("backend":"engine-4","rest_ms":800)"));
    add(timeline, line_of("edge-2", 110, "backend_resting", R"("backend":"engine-5","rest_ms":800)"));
    add(timeline, line_of("edge-2", 120, "backend_recovered", R"("backend":"engine-5")"));
    add(timeline, line_of("edge-3", 100, "backend_resting", R"("backend":"engine-9","rest_ms":800)"));
    const auto text = printed(timeline);
    CHECK(timeline.outcome() ==
          "refused with 503 overloaded (no slot in time) after 180 ms; it was never sent to "
          "a backend server; told to come back after 900 ms");
    CHECK(text.find("needed=2.1 available=0.7") != std::string::npos);
    CHECK(text.find("edge-2: backend_resting backend=engine-4 rest_ms=800 (since 0.199 s)") !=
          std::string::npos);
    CHECK(text.find("over_allowance") == std::string::npos); // this ticket belongs to another request
    CHECK(text.find("engine-5") == std::string::npos);       // engine-5 had recovered before
    CHECK(text.find("engine-9") == std::string::npos);       // edge-3 has no line about the request
    CHECK(text.find("slot_refused") < text.find("request_refused  ticket"));
}

TEST_CASE("a timeline has the state changes around the request, sorted by time", "[diagnosis]") {
    request_timeline timeline("r2");
    add(timeline,
        line_of("edge-1", 400, "request_cut",
                R"("request":"r2","reason":"the response ended early","events":12,"total_ms":390)"));
    add(timeline,
        line_of("edge-1", 10, "request_placed", R"("request":"r2","ticket":5,"backend":"engine-1")"));
    add(timeline,
        line_of("edge-1", 600, "backend_gone", R"("backend":"engine-1","reason":"left the store")"));
    add(timeline, line_of("edge-1", 200, "configuration_in_force", R"("version":9)"));
    const auto text = printed(timeline);
    const auto placed = text.find("request_placed");
    const auto changed = text.find("configuration_in_force");
    const auto cut = text.find("request_cut");
    const auto gone = text.find("backend_gone");
    CHECK(placed < changed);
    CHECK(changed < cut);
    CHECK(cut < gone);
    CHECK(gone != std::string::npos);
    CHECK(timeline.outcome() ==
          "its stream was ended after 12 events (the response ended early), 390 ms after it "
          "came");
}

TEST_CASE("without any line about the request, the output tells how many lines may be missing",
          "[diagnosis]") {
    request_timeline timeline("r3");
    add(timeline,
        line_of("edge-1", 10, "request_answered", R"("request":"r4","left_out":41,"lost_lines":3)"));
    add(timeline, line_of("edge-1", 20, "request_answered", R"("request":"r5","lost_lines":5)"));
    CHECK_FALSE(timeline.has_lines());
    const auto text = printed(timeline);
    CHECK(text.find("No line tells of request r3") != std::string::npos);
    CHECK(text.find("41 more were left out") != std::string::npos);
    CHECK(text.find("5 were lost") != std::string::npos);
}
