// The soak's own checks: each finds what breaks its promise, and lets pass what the promise allows.
#include "soak/descriptor_need.hpp"
#include "soak/disturbance_log.hpp"
#include "soak/fault_schedule.hpp"
#include "soak/promise_checks.hpp"

#include <catch2/catch.hpp>

using namespace borageford::soak;
using std::chrono::milliseconds;

namespace {

const clock::time_point start = clock::time_point(std::chrono::hours(1));

sent_request make_request(unsigned status) {
    sent_request request;
    request.id = "one";
    request.target = "/once/one";
    request.body = "body";
    request.key = "key-open";
    request.service = "plain";
    request.sent = start;
    request.ended = start + milliseconds(50);
    request.result.status = status;
    request.result.has_connected = true;
    request.result.is_whole = true;
    return request;
}

server_run make_run(const sent_request& request, milliseconds after) {
    return {"plain-1000", "plain", request.id, request.target, request.body, "open", start + after};
}

sent_request make_stream(std::uint64_t events, std::string text) {
    auto request = make_request(200);
    request.is_stream = true;
    request.output_tokens = 2;
    request.result.events = events;
    request.result.event_text = std::move(text);
    return request;
}

} // namespace

TEST_CASE("soak: a success has to be the whole answer to its own request", "[soak]") {
    const auto request = make_request(200);
    const auto own = make_run(request, milliseconds(5));
    auto foreign = own;
    foreign.request_id = "two";
    CHECK(check_answer(request, &own).empty());
    CHECK(check_answer(request, &foreign).size() == 1);
    CHECK(check_answer(request, nullptr).size() == 1);
    CHECK(check_answer(make_request(503), nullptr).empty());
}

TEST_CASE("soak: a stream's events come in order, each once, to its last", "[soak]") {
    const std::string first = "id: 1\ndata: token 1\n\n";
    const std::string second = "id: 2\ndata: token 2\n\n";
    const auto check = [](const sent_request& request) {
        const auto own = make_run(request, milliseconds(5));
        return check_answer(request, &own).size();
    };
    CHECK(check(make_stream(2, first + second)) == 0);
    CHECK(check(make_stream(2, first + first)) == 1);
    CHECK(check(make_stream(1, second)) == 2); // and it ends as complete
    auto broken_off = make_stream(1, first);
    CHECK(check(broken_off) == 1);
    broken_off.result.is_whole = false;
    CHECK(check(broken_off) == 0);
}

TEST_CASE("soak: what may run once ran once, and a refusal is true", "[soak]") {
    CHECK(check_runs(make_request(200), 1).empty());
    CHECK(check_runs(make_request(200), 2).size() == 1);
    CHECK(check_runs(make_request(503), 0).empty());
    CHECK(check_runs(make_request(503), 1).size() == 1);
    CHECK(check_runs(make_request(502), 1).empty());
    auto repeatable = make_request(200);
    repeatable.may_repeat = true;
    CHECK(check_runs(repeatable, 2).empty());
}

TEST_CASE("soak: a request gets its final answer unless its process was killed", "[soak]") {
    auto cut = make_request(0);
    disturbance_log calm;
    CHECK(check_final_answer(cut, 1, calm).size() == 1);
    CHECK(check_final_answer(cut, 0, calm).size() == 1);
    cut.result.was_kept = true;
    CHECK(check_final_answer(cut, 0, calm).empty()); // it crossed the connection's close
    CHECK(check_final_answer(cut, 1, calm).size() == 1);
    disturbance_log killed;
    killed.begin(disturbance_kind::gateway_down, cut.gateway, start + milliseconds(20));
    CHECK(check_final_answer(cut, 1, killed).empty());
    disturbance_log other;
    other.begin(disturbance_kind::gateway_down, cut.gateway + 1, start + milliseconds(20));
    CHECK(check_final_answer(cut, 1, other).size() == 1);
    auto unanswered = make_request(0);
    unanswered.end = caller_end::unanswered;
    CHECK(check_final_answer(unanswered, 1, calm).size() == 1);
}

TEST_CASE("soak: a process stays with the configuration that it has served", "[soak]") {
    auto served = make_request(200);
    auto unknown = make_request(404);
    unknown.sent = start + milliseconds(400);
    CHECK(check_configuration_order(std::vector{served, unknown}).size() == 1);
    unknown.gateway_life = served.gateway_life + 1;
    CHECK(check_configuration_order(std::vector{served, unknown}).empty());
    CHECK(check_allowed(unknown).size() == 1);
    unknown.is_always_there = false;
    CHECK(check_allowed(unknown).empty());
}

TEST_CASE("soak: a route that has moved leads elsewhere in time, unless nobody could hear of it", "[soak]") {
    auto request = make_request(200);
    request.service.clear();
    request.sent = start + milliseconds(9000);
    const auto run = make_run(request, milliseconds(9005)); // at "plain"
    const std::vector<route_move> left_late{{start, "plain"}, {start + milliseconds(7000), "other"}};
    const std::vector<route_move> left_early{{start, "plain"}, {start + milliseconds(1000), "other"}};
    const disturbance_log calm;
    CHECK(check_moves_in_time(request, run, left_late, calm).empty());
    CHECK(check_moves_in_time(request, run, left_early, calm).size() == 1);
    disturbance_log outage;
    outage.begin(disturbance_kind::store, std::nullopt, start + milliseconds(1000));
    outage.end(0, start + milliseconds(4000));
    CHECK(check_moves_in_time(request, run, left_early, outage).size() == 1);
    outage.begin(disturbance_kind::store, request.gateway, start + milliseconds(6000));
    CHECK(check_moves_in_time(request, run, left_early, outage).empty());
}

TEST_CASE("soak: what runs is what a caller sent", "[soak]") {
    const auto request = make_request(200);
    const std::map<std::string, const sent_request*> sent{{request.id, &request}};
    const auto run = make_run(request, milliseconds(5));
    CHECK(check_origin(run, sent).empty());
    CHECK(check_origin(run, {}).size() == 1);
    auto changed = run;
    changed.body = "other";
    CHECK(check_origin(changed, sent).size() == 1);
    auto misled = run;
    misled.service = "engines";
    CHECK(check_origin(misled, sent).size() == 1);
    auto mistaken = run;
    mistaken.workspace = "limited";
    CHECK(check_origin(mistaken, sent).size() == 1);
}

TEST_CASE("soak: nothing reaches a server after its caller or the server has left", "[soak]") {
    auto request = make_request(0);
    request.end = caller_end::left;
    disturbance_log calm;
    const std::vector runs{make_run(request, milliseconds(40)), make_run(request, milliseconds(9000))};
    CHECK(check_left(request, runs, calm).size() == 1);
    const leaving_server leaving{"plain-1000", start};
    CHECK(check_leaving(leaving, runs, calm).size() == 1);
    disturbance_log outage;
    outage.begin(disturbance_kind::store, std::nullopt, start);
    CHECK(check_leaving(leaving, runs, outage).empty());
}

TEST_CASE("soak: a window over its limit is found wherever it begins", "[soak]") {
    const window_limit limit{milliseconds(100), 2};
    const auto at = [](int time) {
        return start + milliseconds(time);
    };
    CHECK(check_window("runs", {at(0), at(60), at(150)}, limit).empty());
    CHECK(check_window("runs", {at(0), at(250), at(200), at(290)}, limit).size() == 1);
}

TEST_CASE("soak: a seed draws the same faults each time, within its length", "[soak]") {
    schedule_size size;
    size.seed = 7;
    const auto faults = draw_faults(size);
    REQUIRE(!faults.empty());
    const auto again = draw_faults(size);
    REQUIRE(again.size() == faults.size());
    for (std::size_t index = 0; index < faults.size(); ++index) {
        CHECK(again[index].kind == faults[index].kind);
        CHECK(again[index].at == faults[index].at);
        CHECK(faults[index].at + faults[index].length <= size.length);
        CHECK(parse_fault_kind(to_string(faults[index].kind)) == faults[index].kind);
    }
    CHECK_THROWS_AS(parse_fault_kind("no_such_fault"), std::invalid_argument);
}

TEST_CASE("a soak that can't have the descriptors that it needs is refused with the figure", "[soak]") {
    // Two hundred and fifty gateways before sixty servers: the program ended after two seconds with "Too many
    // open files" and no verdict. A hundred before twenty passed, and a hundred before sixty did not.
    constexpr std::size_t limit = 20000;
    const auto refused = refuse_size({250, 61, 300}, limit);
    REQUIRE(refused.has_value());
    CHECK(refused->find(std::to_string(count_descriptors({250, 61, 300}))) != std::string::npos);
    CHECK(refuse_size({100, 61, 120}, limit).has_value());
    CHECK_FALSE(refuse_size({100, 21, 120}, limit).has_value());
    CHECK_FALSE(refuse_size({40, 31, 120}, limit).has_value());
    CHECK_FALSE(refuse_size({3, 7, 24}, limit).has_value());
}
