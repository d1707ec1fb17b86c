// Tests a sidecar whose backend server stalls, sends invalid answers, refuses requests, loses its connection,
// dies or restarts.
#include "support/answer_text.hpp"
#include "support/cluster.hpp"
#include "support/completion.hpp"
#include "support/sidecar_driver.hpp"

#include <catch2/catch.hpp>

using namespace borageford;
using namespace borageford::test;

namespace {

cluster_options one_engine(const std::string& sidecar_settings = {},
                           const std::string& tokens_per_second = "100") {
    return {.entries = 0,
            .backend_servers = {{.name = "pluma-1",
                                 .arguments = {"--output-tokens-per-second", tokens_per_second}}},
            .sidecar_settings = sidecar_settings};
}

error_kind kind_of(const wire::answer_end_message& end) {
    return wire::error_kind_from_wire(end.error_kind);
}

/// Offers the request and starts it when granted.
dispatch_id begin_run(const sidecar_driver& driver, peer_client& entry, const http::request& work,
                      const offer_options& options = {}) {
    const auto dispatch = driver.offer(entry, work, options);
    driver.grant_and_start(entry, dispatch, work);
    return dispatch;
}

/// The response body of the platform for the request's crash mark row.
std::string mark_row(const cluster& system, const http::request& work) {
    const auto key = "mark/" + to_hex(fingerprint_of(work.body));
    return call(system.platform(), {"GET", "/table/row?key=" + key, {}, {}}).body;
}

} // namespace

// The engine stops sending in the middle of an answer and keeps the connection open. The caller must soon be
// told so and when to retry, instead of waiting for its deadline.
TEST_CASE("sidecar: a stream that stalls ends with backend_stalled and is cancelled", "[sidecar]") {
    cluster system(one_engine("stall_limit = 200ms\n"));
    system.control_server(0, R"({"stall_after":5})");
    sidecar_driver driver(system);
    auto entry = driver.connect();
    const auto dispatch = begin_run(driver, entry, make_completion("atascado", {.tokens = 50}));
    const auto answer = driver.read_answer(entry, dispatch);
    CHECK(answer.end.failed);
    CHECK(kind_of(answer.end) == error_kind::backend_stalled);
    CHECK(answer.end.retry_after_ms > 0);
    CHECK_FALSE(has_done_mark(answer.body));
    wait_until("the engine's cancellation", [&] { return system.server_count(0, "cancelled") == 1; });
}

// The engine sends text that isn't a valid answer, in a complete HTTP response. The caller must not take the
// text for an answer.
TEST_CASE("sidecar: an invalid answer ends with backend_garbled", "[sidecar]") {
    cluster system(one_engine());
    system.control_server(0, R"({"garble":true})");
    sidecar_driver driver(system);
    auto entry = driver.connect();
    for (const bool streamed : {true, false}) {
        const auto work = make_completion("basura", {.tokens = 5, .streamed = streamed});
        const auto answer = driver.read_answer(entry, begin_run(driver, entry, work));
        CHECK(answer.end.failed);
        CHECK(kind_of(answer.end) == error_kind::backend_garbled);
        CHECK(answer.end.retry_after_ms > 0);
    }
}

TEST_CASE("sidecar: a request that the engine refuses ends with backend_failed", "[sidecar]") {
    cluster system(one_engine());
    system.control_server(0, R"({"refuse":true})");
    sidecar_driver driver(system);
    auto entry = driver.connect();
    const auto answer =
        driver.read_answer(entry, begin_run(driver, entry, make_completion("no", {.tokens = 5})));
    CHECK(answer.end.failed);
    CHECK(kind_of(answer.end) == error_kind::backend_failed);
    CHECK(answer.end.retry_after_ms > 0);
}

// The connection to the engine breaks while the engine keeps running. The caller must get the complete
// answer, and the request must run only once.
TEST_CASE("sidecar: after a broken connection the answer is resumed at the next missing byte", "[sidecar]") {
    cluster system(one_engine());
    sidecar_driver driver(system);
    auto entry = driver.connect();
    const auto work = make_completion("cortado", {.tokens = 60});
    const auto dispatch = begin_run(driver, entry, work);
    const auto first = entry.wait_for<wire::chunk_message>(dispatch);
    system.backend(0).server_link->cut(cut_kind::reset);
    const auto rest = driver.read_answer(entry, dispatch, first.data.size());
    CHECK_FALSE(rest.end.failed);
    const auto whole = std::string(first.data.begin(), first.data.end()) + rest.body;
    CHECK(text_of_stream(whole) == expected_text(work, 60));
    CHECK(rest.end.total_length == whole.size());
    CHECK(system.runs_of(work) == 1);
}

// The engine dies. The caller may send the request again at once to another entry, so the request's crash
// mark must be in the table before the failure is reported. After a restart of the engine, requests must be
// served again.
TEST_CASE("sidecar: when the engine dies, its requests are marked before their failure is reported",
          "[sidecar]") {
    cluster system(one_engine("mark_limit = 20s\n"));
    sidecar_driver driver(system);
    auto entry = driver.connect();
    const auto work = make_completion("muere", {.tokens = 500});
    const auto dispatch = begin_run(driver, entry, work);
    entry.wait_for<wire::chunk_message>(dispatch);
    system.backend(0).server->kill();
    system.backend(0).server_link->cut(cut_kind::reset);
    const auto end = entry.wait_for<wire::answer_end_message>(dispatch);
    CHECK(end.failed);
    CHECK(kind_of(end) == error_kind::backend_failed);
    CHECK(end.retry_after_ms > 0);
    CHECK(mark_row(system, work).find("pluma-1") != std::string::npos);
    const auto mark = entry.wait_for<wire::crash_mark_message>();
    CHECK(mark.fingerprint == fingerprint_of(work.body));
    CHECK(mark.backend_server == "pluma-1");

    const auto refused = driver.offer(entry, work);
    const auto reply = entry.wait_for<wire::offer_reply_message>(refused);
    CHECK(reply.verdict == wire::offer_verdict::refused);
    CHECK(wire::error_kind_from_wire(reply.error_kind) == error_kind::no_backend_server);
    CHECK(reply.marks == 1);
    system.start_server(0);
    driver.wait_until_ready();
    auto later = driver.connect();
    const auto next = make_completion("vuelve", {.tokens = 5});
    const auto answer = driver.read_answer(later, begin_run(driver, later, next));
    CHECK(text_of_stream(answer.body) == expected_text(next, 5));
}

// The table is unavailable when the engine dies. The failure must be reported without waiting for the table,
// and the crash mark must be written later.
TEST_CASE("sidecar: the engine's death is reported while the table is unavailable", "[sidecar]") {
    cluster system(one_engine("mark_limit = 50ms\n"));
    sidecar_driver driver(system);
    auto entry = driver.connect();
    const auto work = make_completion("doble fallo", {.tokens = 500});
    const auto dispatch = begin_run(driver, entry, work);
    entry.wait_for<wire::chunk_message>(dispatch);
    system.control_platform(R"({"outage":true})");
    system.backend(0).server->kill();
    system.backend(0).server_link->cut(cut_kind::reset);
    CHECK(kind_of(entry.wait_for<wire::answer_end_message>(dispatch)) == error_kind::backend_failed);
    CHECK(mark_row(system, work).find("pluma-1") == std::string::npos);
    system.control_platform(R"({"outage":false})");
    wait_until("the mark's row", [&] { return mark_row(system, work).find("pluma-1") != std::string::npos; });
}

// A request crashes every backend server that runs it. Other requests that ran at the same time must not be
// quarantined because of it: at most one marked request runs at a time, and only that one is marked again.
TEST_CASE("sidecar: one marked request runs at a time, and only that one is marked again", "[sidecar]") {
    cluster system(one_engine());
    sidecar_driver driver(system);
    auto entry = driver.connect();
    const auto suspect = make_completion("culpable", {.tokens = 500});
    const auto beside = make_completion("vecino", {.tokens = 500});
    const auto innocent = make_completion("inocente", {.tokens = 500});
    for (const auto* marked : {&suspect, &beside}) {
        wire::crash_mark_message mark;
        mark.fingerprint = fingerprint_of(marked->body);
        mark.backend_server = "pluma-9";
        mark.mark = wire::to_wire(identifier::random());
        entry.send(mark);
    }
    const auto first = begin_run(driver, entry, suspect);
    const auto second = begin_run(driver, entry, innocent);
    const auto waiting = driver.offer(entry, beside);
    CHECK(entry.wait_for<wire::offer_reply_message>(waiting).marks == 1);
    entry.wait_for<wire::chunk_message>(first);
    entry.wait_for<wire::chunk_message>(second);
    CHECK_FALSE(entry.has<wire::grant_message>(waiting));
    system.backend(0).server->kill();
    system.backend(0).server_link->cut(cut_kind::reset);
    entry.wait_for<wire::answer_end_message>(first);
    entry.wait_for<wire::answer_end_message>(second);
    entry.wait_for<wire::not_begun_message>(waiting);
    CHECK(mark_row(system, innocent).find("pluma-1") == std::string::npos);
    CHECK(mark_row(system, beside).find("pluma-1") == std::string::npos);
    wait_until("the mark's row",
               [&] { return mark_row(system, suspect).find("pluma-1") != std::string::npos; });

    system.start_server(0);
    driver.wait_until_ready();
    const auto again = driver.offer(entry, suspect);
    const auto reply = entry.wait_for<wire::offer_reply_message>(again);
    CHECK(reply.verdict == wire::offer_verdict::refused);
    CHECK(wire::error_kind_from_wire(reply.error_kind) == error_kind::quarantined);
    CHECK(reply.marks == 2);
    begin_run(driver, entry, innocent);
}

// The sidecar dies and is restarted while its engine keeps running. The new sidecar must find the dispatch at
// the engine and resume its answer.
TEST_CASE("sidecar: a restarted sidecar finds a running dispatch at its engine", "[sidecar]") {
    cluster system(one_engine({}, "50"));
    sidecar_driver driver(system);
    const auto work = make_completion("reinicio", {.tokens = 60});
    std::string begun;
    dispatch_id dispatch;
    {
        auto entry = driver.connect();
        dispatch = begin_run(driver, entry, work);
        const auto chunk = entry.wait_for<wire::chunk_message>(dispatch);
        begun.assign(chunk.data.begin(), chunk.data.end());
        system.backend(0).sidecar->kill();
    }
    system.start_sidecar(0);
    driver.wait_until_ready();
    auto entry = driver.connect();
    driver.attach(entry, dispatch, begun.size());
    CHECK(entry.wait_for<wire::fate_message>(dispatch).state == wire::dispatch_fate::running);
    const auto rest = driver.read_answer(entry, dispatch, begun.size());
    CHECK_FALSE(rest.end.failed);
    CHECK(text_of_stream(begun + rest.body) == expected_text(work, 60));
    CHECK(system.runs_of(work) == 1);
    const auto never_heard_of = identifier::random();
    driver.attach(entry, never_heard_of, 0);
    CHECK(entry.wait_for<wire::fate_message>(never_heard_of).state == wire::dispatch_fate::unknown);
}

// The engine's connection ends in the middle of the HTTP body. The truncated answer must not count as
// complete.
TEST_CASE("sidecar: an answer whose body is truncated is resumed from there", "[sidecar]") {
    cluster system(one_engine());
    sidecar_driver driver(system);
    auto entry = driver.connect();
    const auto work = make_completion("a medias", {.tokens = 40});
    system.backend(0).server_link->arm(direction::down, contains("delta"), fault::truncate);
    const auto answer = driver.read_answer(entry, begin_run(driver, entry, work));
    CHECK_FALSE(answer.end.failed);
    CHECK(text_of_stream(answer.body) == expected_text(work, 40));
    CHECK(system.runs_of(work) == 1);
}
