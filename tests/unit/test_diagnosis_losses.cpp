// Tests of loss_report, which counts from log lines how requests ended.
#include "diagnosis/loss_report.hpp"

#include <catch2/catch.hpp>

#include <chrono>
#include <sstream>
#include <string>

using namespace borageford::diagnosis;
using namespace std::chrono_literals;

namespace {

log_record record_of(const std::string& event, const std::string& fields, const std::string& second = "00") {
    const auto record =
        read_log_record(R"({"event":")" + event + R"(","level":"info","time":"2026-03-01T10:00:)" + second +
                        R"(.000000Z","process":"gateway","vm":"edge-1",)" + fields + "}");
    REQUIRE(record);
    return *record;
}

std::string answer(int waited, int to_first, int pause) {
    return R"("request":"r","route":"digest","workspace":"w","status":200,"waited_ms":)" +
           std::to_string(waited) + R"(,"to_first_ms":)" + std::to_string(to_first) +
           R"(,"target_ms":500,"longest_pause_ms":)" + std::to_string(pause) + R"(,"pause_target_ms":300)";
}

std::string refusal(const std::string& error, int status) {
    return R"("request":"r","route":"digest","workspace":"w","error":")" + error + R"(","status":)" +
           std::to_string(status);
}

} // namespace

TEST_CASE("each way in which a request can end is classified by its cause", "[diagnosis][losses]") {
    CHECK(classify(record_of("request_answered", answer(10, 480, 290))) == request_end::in_time);
    CHECK(classify(record_of("request_answered", answer(400, 600, 0))) == request_end::late_by_wait);
    CHECK(classify(record_of("request_answered", answer(10, 600, 0))) == request_end::late_at_server);
    CHECK(classify(record_of("request_answered", answer(10, 100, 301))) == request_end::late_by_pause);
    CHECK(classify(record_of("request_refused", refusal("overloaded", 503))) == request_end::refused_load);
    CHECK(classify(record_of("request_refused",
                             refusal("overloaded", 503) + R"(,"reason":"over_server_limit")")) ==
          request_end::refused_server);
    CHECK(classify(record_of("request_refused", refusal("overloaded", 503) + R"(,"reason":"over_memory")")) ==
          request_end::refused_memory);
    CHECK(classify(record_of("request_refused", refusal("prompt_too_large", 413))) ==
          request_end::refused_memory);
    CHECK(classify(record_of("request_refused", refusal("rate_limited", 429))) == request_end::refused_limit);
    CHECK(classify(record_of("request_refused", refusal("unauthorized", 401))) ==
          request_end::refused_caller);
    CHECK(classify(record_of("request_refused", refusal("backend_stalled", 504))) == request_end::failed);
    CHECK(classify(record_of("request_refused", refusal("outcome_unknown", 502))) == request_end::failed);
    CHECK(classify(record_of("request_cut", R"("request":"r")")) == request_end::cut);
    CHECK(classify(record_of("request_refused", refusal("stream_unknown", 503))) == request_end::stream_lost);
    CHECK(classify(record_of("request_cut", R"("request":"r","reason":"software_gone")")) ==
          request_end::stream_lost);
    CHECK(classify(record_of("request_cut", R"("reason":"the caller reads too slowly")")) ==
          request_end::cut_slow);
    CHECK(
        classify(record_of("request_cut", R"("reason":"the server ended an answer that remained unread")")) ==
        request_end::cut_slow);
    CHECK(classify(record_of("request_abandoned", R"("request":"r")")) == request_end::left);
    CHECK_FALSE(classify(record_of("request_placed", R"("request":"r")")).has_value());
    CHECK_FALSE(classify(record_of("backend_gone", R"("backend":"b")")).has_value());
}

TEST_CASE("without targets for the first event and for pauses, no answer is late", "[diagnosis][losses]") {
    CHECK(classify(record_of("request_answered", R"("request":"r","to_first_ms":900)")) ==
          request_end::in_time);
}

TEST_CASE("losses are counted by route, workspace and time, and the number of missing lines is printed",
          "[diagnosis][losses]") {
    loss_report report(2s);
    CHECK_FALSE(report.has_requests());
    report.add(record_of("request_answered", answer(10, 100, 0), "00"));
    report.add(record_of("request_answered", answer(10, 600, 0), "01"));
    auto refused = record_of("request_refused", refusal("overloaded", 503), "05");
    refused.left_out = 41;
    report.add(refused);
    report.add(record_of("backend_gone", R"("backend":"b")"));
    CHECK(report.has_requests());
    std::ostringstream out;
    report.print(out);
    const auto text = out.str();
    const std::string row = "         3         1         0         1         0         1";
    CHECK(text.find("digest                  " + row) != std::string::npos);
    CHECK(text.find("w                       " + row) != std::string::npos);
    CHECK(text.find("\n0                                2") != std::string::npos);
    CHECK(text.find("\n4                                1") != std::string::npos);
    CHECK(text.find("not counted: 41 requests") != std::string::npos);
}
