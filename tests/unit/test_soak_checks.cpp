// Tests of the soak's checks: each check reports a violation of its promise and accepts what the promise
// allows.
#include "soak/descriptor_need.hpp"
#include "soak/disturbance_log.hpp"
#include "soak/fault_schedule.hpp"
#include "soak/promise_checks.hpp"
#include "soak/statement_checks.hpp"

#include <catch2/catch.hpp>

using namespace borageford::soak;
namespace test = borageford::test;
using std::chrono::milliseconds;

namespace {

const clock::time_point start = clock::time_point(std::chrono::hours(1));

/// A request to a route that may run only once, which was sent at `start` and answered with this status after
/// 50 ms.
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
    request.result.is_complete = true;
    return request;
}

/// A run of this request that begins `after` the time `start`.
server_run make_run(const sent_request& request, milliseconds after) {
    return {"plain-1000", "plain", request.id, request.target, request.body, "open", start + after};
}

/// A streamed request for two events whose caller received this number of events and this text.
sent_request make_stream(std::uint64_t events, std::string text) {
    auto request = make_request(200);
    request.is_stream = true;
    request.output_tokens = 2;
    request.result.events = events;
    request.result.event_text = std::move(text);
    return request;
}

} // namespace

TEST_CASE("soak: a successful answer must come from a run of the same request", "[soak]") {
    const auto request = make_request(200);
    const auto own = make_run(request, milliseconds(5));
    auto foreign = own;
    foreign.request_id = "two";
    CHECK(check_answer(request, &own).empty());
    CHECK(check_answer(request, &foreign).size() == 1);
    CHECK(check_answer(request, nullptr).size() == 1);
    CHECK(check_answer(make_request(503), nullptr).empty());
}

TEST_CASE("soak: a stream's events must be complete, in order and without repetition", "[soak]") {
    const std::string first = "id: 1\ndata: token 1\n\n";
    const std::string second = "id: 2\ndata: token 2\n\n";
    const auto check = [](const sent_request& request) {
        const auto own = make_run(request, milliseconds(5));
        return check_answer(request, &own).size();
    };
    CHECK(check(make_stream(2, first + second)) == 0);
    CHECK(check(make_stream(2, first + first)) == 1);
    CHECK(check(make_stream(1, second)) ==
          2); // wrong event, and the stream ends as complete after one of two
    auto truncated = make_stream(1, first);
    CHECK(check(truncated) == 1);
    truncated.result.is_complete = false;
    CHECK(check(truncated) == 0);
}

TEST_CASE("soak: a non-idempotent request runs once, and a refused one doesn't run", "[soak]") {
    CHECK(check_runs(make_request(200), 1).empty());
    CHECK(check_runs(make_request(200), 2).size() == 1);
    CHECK(check_runs(make_request(503), 0).empty());
    CHECK(check_runs(make_request(503), 1).size() == 1);
    CHECK(check_runs(make_request(502), 1).empty());
    auto idempotent = make_request(200);
    idempotent.is_idempotent = true;
    CHECK(check_runs(idempotent, 2).empty());
}

TEST_CASE("soak: a request gets a final answer unless its gateway was killed", "[soak]") {
    auto cut = make_request(0);
    disturbance_log no_disturbances;
    CHECK(check_final_answer(cut, 1, no_disturbances).size() == 1);
    CHECK(check_final_answer(cut, 0, no_disturbances).size() == 1);
    cut.result.reused_connection = true;
    CHECK(check_final_answer(cut, 0, no_disturbances)
              .empty()); // sent while the gateway was closing the connection
    CHECK(check_final_answer(cut, 1, no_disturbances).size() == 1);
    disturbance_log killed;
    killed.begin(disturbance_kind::gateway_down, cut.gateway, start + milliseconds(20));
    CHECK(check_final_answer(cut, 1, killed).empty());
    disturbance_log other;
    other.begin(disturbance_kind::gateway_down, cut.gateway + 1, start + milliseconds(20));
    CHECK(check_final_answer(cut, 1, other).size() == 1);
    auto unanswered = make_request(0);
    unanswered.end = caller_end::unanswered;
    CHECK(check_final_answer(unanswered, 1, no_disturbances).size() == 1);
}

TEST_CASE("soak: a gateway process doesn't go back to an older configuration", "[soak]") {
    auto served = make_request(200);
    auto unknown = make_request(404);
    unknown.sent = start + milliseconds(400);
    CHECK(check_configuration_order(std::vector{served, unknown}).size() == 1);
    unknown.gateway_start_count = served.gateway_start_count + 1;
    CHECK(check_configuration_order(std::vector{served, unknown}).empty());
    CHECK(check_allowed(unknown).size() == 1);
    unknown.is_in_every_configuration = false;
    CHECK(check_allowed(unknown).empty());
}

TEST_CASE("soak: a moved route is applied in time unless a disturbance kept the change from gateways",
          "[soak]") {
    auto request = make_request(200);
    request.service.clear();
    request.sent = start + milliseconds(9000);
    const auto run = make_run(request, milliseconds(9005)); // at a server of "plain"
    const std::vector<route_move> moved_late{{start, "plain"}, {start + milliseconds(7000), "other"}};
    const std::vector<route_move> moved_early{{start, "plain"}, {start + milliseconds(1000), "other"}};
    const disturbance_log no_disturbances;
    CHECK(check_moves_in_time(request, run, moved_late, no_disturbances).empty());
    CHECK(check_moves_in_time(request, run, moved_early, no_disturbances).size() == 1);
    disturbance_log outage;
    outage.begin(disturbance_kind::store, std::nullopt, start + milliseconds(1000));
    outage.end(0, start + milliseconds(4000));
    CHECK(check_moves_in_time(request, run, moved_early, outage).size() == 1);
    outage.begin(disturbance_kind::store, request.gateway, start + milliseconds(6000));
    CHECK(check_moves_in_time(request, run, moved_early, outage).empty());
}

TEST_CASE("soak: every run is of a request that a caller sent, unchanged", "[soak]") {
    const auto request = make_request(200);
    const std::map<std::string, const sent_request*> sent{{request.id, &request}};
    const auto run = make_run(request, milliseconds(5));
    CHECK(check_origin(run, sent).empty());
    CHECK(check_origin(run, {}).size() == 1);
    auto changed = run;
    changed.body = "other";
    CHECK(check_origin(changed, sent).size() == 1);
    auto wrong_service = run;
    wrong_service.service = "engines";
    CHECK(check_origin(wrong_service, sent).size() == 1);
    auto wrong_workspace = run;
    wrong_workspace.workspace = "limited";
    CHECK(check_origin(wrong_workspace, sent).size() == 1);
}

TEST_CASE("soak: no request reaches a server after its caller disconnected or the server drained", "[soak]") {
    auto request = make_request(0);
    request.end = caller_end::disconnected;
    disturbance_log no_disturbances;
    const std::vector runs{make_run(request, milliseconds(40)), make_run(request, milliseconds(9000))};
    CHECK(check_disconnected(request, runs, {}, no_disturbances).size() == 1);
    const draining_server draining{"plain-1000", start};
    CHECK(check_draining(draining, runs, no_disturbances).size() == 1);
    disturbance_log outage;
    outage.begin(disturbance_kind::store, std::nullopt, start);
    CHECK(check_draining(draining, runs, outage).empty());
}

TEST_CASE("soak: a request that a held path delivers late must have been sent in time", "[soak]") {
    auto request = make_request(0);
    request.end = caller_end::disconnected;
    const std::vector runs{make_run(request, milliseconds(9000))};
    const disturbance_log no_disturbances;
    const auto at = [](int time) {
        return start + milliseconds(time);
    };
    const auto is_kept = [&](const held_delivery& delivery) {
        return check_disconnected(request, runs, std::vector{delivery}, no_disturbances).empty();
    };
    held_delivery delivery{"plain-1000",
                           {test::direction::up, "POST /once/one HTTP/1.1", at(20), at(8999),
                            test::received_end{at(51), test::cut_kind::end}, at(9000)}};
    CHECK(is_kept(delivery));
    auto sent_late = delivery;
    sent_late.unit.received = at(2100);
    CHECK_FALSE(is_kept(sent_late));
    auto left_open = delivery;
    left_open.unit.end.reset();
    CHECK_FALSE(is_kept(left_open));
    auto closed_late = delivery;
    closed_late.unit.end->at = at(2100);
    CHECK_FALSE(is_kept(closed_late));
    auto server_not_told = delivery;
    server_not_told.unit.end_forwarded = at(9900);
    CHECK_FALSE(is_kept(server_not_told));
    auto other_time = delivery;
    other_time.unit.forwarded = at(4000);
    CHECK_FALSE(is_kept(other_time));
    auto other_server = delivery;
    other_server.server_id = "plain-1001";
    CHECK_FALSE(is_kept(other_server));
    auto other_request = delivery;
    other_request.unit.bytes = "POST /once/one1 HTTP/1.1";
    CHECK_FALSE(is_kept(other_request));
    // The body of the request was sent too late.
    CHECK(check_disconnected(request, runs, std::vector{delivery, sent_late}, no_disturbances).size() == 1);
}

TEST_CASE("soak: a window with more events than its limit is found wherever it begins", "[soak]") {
    const window_limit limit{milliseconds(100), 2};
    const auto at = [](int time) {
        return start + milliseconds(time);
    };
    CHECK(check_window("runs", {at(0), at(60), at(150)}, limit).empty());
    CHECK(check_window("runs", {at(0), at(250), at(200), at(290)}, limit).size() == 1);
}

TEST_CASE("soak: a seed draws the same faults each time, and they end within the soak's length", "[soak]") {
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

TEST_CASE("soak: a size that needs more descriptors than allowed is refused, and the message names the need",
          "[soak]") {
    // A soak of 250 gateways and 60 servers ended after two seconds with "Too many open files" and without a
    // verdict. 100 gateways with 20 servers worked; 100 gateways with 60 servers didn't.
    constexpr std::size_t limit = 20000;
    const auto refused = check_size({250, 61, 300}, limit);
    REQUIRE(refused.has_value());
    CHECK(refused->find(std::to_string(count_descriptors({250, 61, 300}))) != std::string::npos);
    CHECK(check_size({100, 61, 120}, limit).has_value());
    CHECK_FALSE(check_size({100, 21, 120}, limit).has_value());
    CHECK_FALSE(check_size({40, 31, 120}, limit).has_value());
    CHECK_FALSE(check_size({3, 7, 24}, limit).has_value());
}

TEST_CASE("the soak finds a server that got more than the rate limit that it names", "[soak][rate_limit]") {
    limited_server server{"server-1", {}, {{start, 1.0}}};
    for (int count = 0; count < 100; ++count) {
        server.arrivals.push_back(start + milliseconds(100 * count));
    }
    CHECK(check_rate_limit(server, {}).size() == 1);
    disturbance_log one_killed;
    one_killed.begin(disturbance_kind::gateway_down, 1, start);
    CHECK(check_rate_limit(server, one_killed).size() == 1);
    disturbance_log all_killed;
    all_killed.begin(disturbance_kind::gateway_down, std::nullopt, start);
    CHECK(check_rate_limit(server, all_killed).empty());
    server.named.front().per_second = 10;
    CHECK(check_rate_limit(server, {}).empty());
}

TEST_CASE("rate limits are drawn apart from the other faults of a soak", "[soak][rate_limit]") {
    // A seed that has found a fault must still draw the same faults when a kind is added.
    schedule_size size;
    size.length = milliseconds(60000);
    size.version = schedule_version::first;
    const auto all = draw_faults(size);
    for (int kind = 0; kind < static_cast<int>(fault_kind::server_limits_rate); ++kind) {
        size.kinds.push_back(static_cast<fault_kind>(kind));
    }
    const auto others = draw_faults(size);
    const auto limits = std::ranges::count(all, fault_kind::server_limits_rate, &planned_fault::kind);
    CHECK(limits > 10);
    CHECK(others.size() + static_cast<std::size_t>(limits) == all.size());
}

TEST_CASE("soak: a schedule draws from the kinds of its version only", "[soak]") {
    schedule_size size;
    size.length = milliseconds(120000);
    const auto has_new_kinds = [&size](schedule_version version) {
        size.version = version;
        return std::ranges::any_of(draw_faults(size), [](const planned_fault& fault) {
            return fault.kind > fault_kind::server_limits_rate;
        });
    };
    CHECK_FALSE(has_new_kinds(schedule_version::first));
    CHECK(has_new_kinds(schedule_version::second));
}

TEST_CASE("soak: retries beyond the budget are reported with their service", "[soak][retry_budget]") {
    const auto begin = clock::time_point{} + std::chrono::hours(1);
    std::vector<borageford::emulator::recorded_arrival> arrivals;
    arrivals.reserve(12);
    for (int number = 0; number < 12; ++number) {
        arrivals.push_back({"same", begin + std::chrono::milliseconds(number)});
    }
    const borageford::emulator::retry_terms terms{.ratio = 0.2, .reserve = 10};
    CHECK(check_retries("plain", arrivals, {begin + std::chrono::milliseconds(5)}, terms).size() == 1);
    arrivals.pop_back();
    CHECK(check_retries("plain", arrivals, {}, terms).empty());
}

namespace {

/// A request that a caller sent to gateway 0 and that was answered 10 ms later.
sent_request make_answered(const std::string& id, clock::time_point sent) {
    sent_request request;
    request.id = id;
    request.sent = sent;
    request.ended = sent + milliseconds(10);
    request.result.status = 200;
    return request;
}

} // namespace

TEST_CASE("soak: requests at a server that had said that it leaves are reported, but not after a restart",
          "[soak][leaving_server]") {
    const auto begin = clock::time_point{} + std::chrono::hours(1);
    const auto heard = make_answered("heard", begin);
    const auto early = make_answered("early", begin + milliseconds(1900));
    auto late = make_answered("late", begin + milliseconds(2100));
    const std::map<std::string, const sent_request*> sent{
        {"heard", &heard}, {"early", &early}, {"late", &late}};
    const stating_server server{
        "plain-1", {{"early", early.sent}, {"late", late.sent}}, {{"heard", begin, true, {}}}};
    CHECK(check_leaving(server, sent, {}).size() == 1);
    auto misdirected = server;
    misdirected.arrivals.back().result = borageford::emulator::arrival_result::misdirected;
    CHECK(check_leaving(misdirected, sent, {}).empty()); // sent to a server that had the address before
    late.gateway_start_count = 1;
    CHECK(check_leaving(server, sent, {}).empty());
}

TEST_CASE("soak: a third request in a pause is reported, unless the gateway was frozen", "[soak][backoff]") {
    const auto begin = clock::time_point{} + std::chrono::hours(1);
    const auto turned_away = make_answered("turned-away", begin);
    const auto again = make_answered("again", begin + milliseconds(600));
    const std::map<std::string, const sent_request*> sent{{"turned-away", &turned_away}, {"again", &again}};
    stating_server server{"plain-1",
                          {{"again", begin + milliseconds(600)}, {"again", begin + milliseconds(700)}},
                          {{"turned-away", begin, false, milliseconds(1500)}}};
    CHECK(check_pauses(server, sent, {}).empty());
    server.arrivals.push_back({"again", begin + milliseconds(1400)});
    CHECK(check_pauses(server, sent, {}).size() == 1);
    disturbance_log disturbances;
    disturbances.begin(disturbance_kind::gateway_down, 0, begin + milliseconds(300));
    CHECK(check_pauses(server, sent, disturbances).empty());
}
