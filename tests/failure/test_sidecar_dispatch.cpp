// Tests dispatches of a sidecar process in front of an emulated engine. The test takes the part of the entry
// and sends its messages one by one.
#include "support/cluster.hpp"
#include "support/completion.hpp"
#include "support/sidecar_driver.hpp"

#include <catch2/catch.hpp>

using namespace borageford;
using namespace borageford::test;

TEST_CASE("sidecar: a granted request is started and its complete answer delivered", "[sidecar]") {
    cluster system({.entries = 0, .backend_servers = {{.name = "pluma-1"}}});
    sidecar_driver driver(system);
    auto entry = driver.connect();
    const auto work = make_completion("capitulo uno", {.tokens = 30});
    const auto dispatch = driver.offer(entry, work);
    CHECK(entry.wait_for<wire::offer_reply_message>(dispatch).verdict == wire::offer_verdict::queued);
    driver.grant_and_start(entry, dispatch, work);
    const auto answer = driver.read_answer(entry, dispatch);
    CHECK_FALSE(answer.end.failed);
    CHECK(answer.end.total_length == answer.body.size());
    CHECK(text_of_stream(answer.body) == expected_text(work, 30));
    CHECK(answer.end.output_tokens == 30);
    CHECK(system.runs_of(work) == 1);
}

// An entry was frozen after the grant, and sends its start message too late. Its caller has been told that
// the request didn't run and may have sent it again, so running it now would run it twice.
TEST_CASE("sidecar: a start message after the grant has expired never runs the request", "[sidecar]") {
    cluster system(
        {.entries = 0, .backend_servers = {{.name = "pluma-1"}}, .sidecar_settings = "grant_lease = 30ms\n"});
    sidecar_driver driver(system);
    auto entry = driver.connect();
    const auto work = make_completion("tarde", {.tokens = 5});
    const auto dispatch = driver.offer(entry, work);
    entry.wait_for<wire::grant_message>(dispatch);
    const auto refusal = entry.wait_for<wire::not_begun_message>(dispatch);
    driver.start(entry, dispatch, work);
    entry.wait_for<wire::not_begun_message>(dispatch);
    CHECK(answer_for(wire::error_kind_from_wire(refusal.error_kind)).ran == run_state::no);
    CHECK(system.runs_of(work) == 0);
}

// The connection with the start message has become unresponsive, and the entry asks for the state of the
// dispatch on a new connection before the start arrives. It is told "not begun" and places the request
// elsewhere, so the late start must not run the request here too.
TEST_CASE("sidecar: a start message after an attach to the same dispatch does not run the request",
          "[sidecar]") {
    cluster system({.entries = 0, .backend_servers = {{.name = "pluma-1"}}});
    sidecar_driver driver(system);
    auto old_connection = driver.connect();
    auto new_connection = driver.connect();
    const auto work = make_completion("silencio", {.tokens = 5});
    const auto dispatch = driver.offer(old_connection, work);
    old_connection.wait_for<wire::grant_message>(dispatch);
    driver.attach(new_connection, dispatch, 0);
    CHECK(new_connection.wait_for<wire::fate_message>(dispatch).state == wire::dispatch_fate::not_begun);
    driver.start(old_connection, dispatch, work);
    old_connection.wait_for<wire::not_begun_message>(dispatch);
    CHECK(system.runs_of(work) == 0);
}

// A call has run and the sidecar has forgotten its dispatch. An entry whose clock is behind reads the claim
// and asks for the fate, with an age that is too small. Told "not begun", it would run the call again.
TEST_CASE("sidecar: a forgotten dispatch isn't reported as not begun to an entry whose clock is behind",
          "[sidecar]") {
    cluster system({.entries = 0,
                    .backend_servers = {{.name = "pluma-1"}},
                    .sidecar_settings = "ledger_entries = 1\nanswer_count = 1\n"});
    sidecar_driver driver(system);
    auto entry = driver.connect();
    dispatch_id forgotten;
    std::uint64_t forgotten_granted_at_ms = 0;
    for (int number = 0; number < 3; ++number) {
        const auto work = make_completion("reloj " + std::to_string(number), {.tokens = 2});
        const auto dispatch = driver.offer(entry, work);
        const auto grant = entry.wait_for<wire::grant_message>(dispatch);
        driver.start(entry, dispatch, work);
        static_cast<void>(driver.read_answer(entry, dispatch));
        wire::acknowledge_message acknowledge;
        acknowledge.dispatch = wire::to_wire(dispatch);
        entry.send(acknowledge);
        if (number == 0) {
            forgotten = dispatch;
            forgotten_granted_at_ms = grant.granted_at_ms;
        }
    }
    driver.attach(entry, forgotten, 0, forgotten_granted_at_ms);
    CHECK(entry.wait_for<wire::fate_message>(forgotten).state == wire::dispatch_fate::unknown);
    const auto work = make_completion("reloj nuevo", {.tokens = 2});
    const auto never_begun = driver.offer(entry, work);
    const auto grant = entry.wait_for<wire::grant_message>(never_begun);
    driver.attach(entry, never_begun, 0, grant.granted_at_ms);
    CHECK(entry.wait_for<wire::fate_message>(never_begun).state == wire::dispatch_fate::not_begun);
}

// The connection breaks in the middle of an answer. On a new connection, the answer must go on at exactly the
// byte where it stopped.
TEST_CASE("sidecar: several connections read one answer, each from its own offset", "[sidecar]") {
    cluster system(
        {.entries = 0,
         .backend_servers = {{.name = "pluma-1", .arguments = {"--output-tokens-per-second", "200"}}}});
    sidecar_driver driver(system);
    auto first = driver.connect();
    const auto work = make_completion("dos lectores", {.tokens = 60});
    const auto dispatch = driver.offer(first, work);
    driver.grant_and_start(first, dispatch, work);
    auto piece = first.wait_for<wire::chunk_message>(dispatch);
    std::string begun(piece.data.begin(), piece.data.end());
    auto second = driver.connect();
    auto third = driver.connect();
    driver.attach(second, dispatch, begun.size());
    driver.attach(third, dispatch, 0);
    first.close();
    CHECK(second.wait_for<wire::fate_message>(dispatch).state == wire::dispatch_fate::running);
    const auto rest = driver.read_answer(second, dispatch, begun.size());
    const auto whole = driver.read_answer(third, dispatch);
    CHECK(begun + rest.body == whole.body);
    CHECK(rest.end.total_length == whole.body.size());
    CHECK(text_of_stream(whole.body) == expected_text(work, 60));
    CHECK(system.runs_of(work) == 1);
}

// The last part of an answer may be lost on its way to the entry. The sidecar must keep the answer until the
// entry has acknowledged it, and must not report the dispatch as not run afterwards.
TEST_CASE("sidecar: an answer is kept until it is acknowledged, and its dispatch then counts as run",
          "[sidecar]") {
    cluster system({.entries = 0, .backend_servers = {{.name = "pluma-1"}}});
    sidecar_driver driver(system);
    auto entry = driver.connect();
    const auto work = make_completion("guardado", {.tokens = 10});
    const auto dispatch = driver.offer(entry, work);
    driver.grant_and_start(entry, dispatch, work);
    const auto answer = driver.read_answer(entry, dispatch);
    driver.attach(entry, dispatch, 0);
    CHECK(entry.wait_for<wire::fate_message>(dispatch).state == wire::dispatch_fate::finished);
    CHECK(driver.read_answer(entry, dispatch).body == answer.body);
    wire::acknowledge_message acknowledge;
    acknowledge.dispatch = wire::to_wire(dispatch);
    entry.send(acknowledge);
    driver.attach(entry, dispatch, 0);
    CHECK(entry.wait_for<wire::fate_message>(dispatch).state == wire::dispatch_fate::finished);
    const auto end = entry.wait_for<wire::answer_end_message>(dispatch);
    CHECK(end.failed);
    CHECK(wire::error_kind_from_wire(end.error_kind) == error_kind::already_ran);
}

// An operator confirmed a new configuration revision between grant and start. The revision may not allow the
// request to run at this backend server any more.
TEST_CASE("sidecar: a start message with another configuration revision is not begun", "[sidecar]") {
    cluster system({.entries = 0, .backend_servers = {{.name = "pluma-1"}}});
    sidecar_driver driver(system);
    auto entry = driver.connect();
    const auto work = make_completion("revision", {.tokens = 5});
    const auto dispatch = driver.offer(entry, work);
    const auto grant = entry.wait_for<wire::grant_message>(dispatch);
    driver.start(entry, dispatch, work, grant.revision + 1);
    const auto refusal = entry.wait_for<wire::not_begun_message>(dispatch);
    CHECK(wire::error_kind_from_wire(refusal.error_kind) == error_kind::stale_revision);
    CHECK(system.runs_of(work) == 0);
}

// A caller whose entry died sends the same request again through another entry. The request must not be run,
// and so paid for, a second time.
TEST_CASE("sidecar: a resend finds the running answer", "[sidecar]") {
    cluster system({.entries = 0, .backend_servers = {{.name = "pluma-1"}}});
    sidecar_driver driver(system);
    auto first = driver.connect();
    const auto work = make_completion("otra vez", {.tokens = 40});
    const auto dispatch = driver.offer(first, work, {.resend_key = 77});
    driver.grant_and_start(first, dispatch, work);
    first.wait_for<wire::answer_head_message>(dispatch);
    first.close();
    auto second = driver.connect();
    const auto resend = driver.offer(second, work, {.resend_key = 77});
    const auto reply = second.wait_for<wire::offer_reply_message>(resend);
    REQUIRE(reply.verdict == wire::offer_verdict::attachable);
    const auto running = wire::from_wire(reply.running_dispatch);
    CHECK(running == dispatch);
    driver.attach(second, running, 0);
    CHECK(text_of_stream(driver.read_answer(second, running).body) == expected_text(work, 40));
    CHECK(system.runs_of(work) == 1);
}

// A caller uses its idempotency key again for another request. It must not get the answer to the first
// request.
TEST_CASE("sidecar: a resend key with another body finds nothing", "[sidecar]") {
    cluster system({.entries = 0, .backend_servers = {{.name = "pluma-1"}}});
    sidecar_driver driver(system);
    auto entry = driver.connect();
    const auto work = make_completion("una cosa", {.tokens = 40});
    const auto first = driver.offer(entry, work, {.resend_key = 79});
    driver.grant_and_start(entry, first, work);
    const auto other = driver.offer(entry, make_completion("otra cosa", {.tokens = 5}), {.resend_key = 79});
    CHECK(entry.wait_for<wire::offer_reply_message>(other).verdict == wire::offer_verdict::queued);
}

// A caller sends a request again. The request had been offered to this sidecar but was started at another
// backend server, and the reply must name that server and the dispatch.
TEST_CASE("sidecar: a resend is told where the request was started first", "[sidecar]") {
    cluster system({.entries = 0, .backend_servers = {{.name = "pluma-1"}}});
    sidecar_driver driver(system);
    auto entry = driver.connect();
    const auto work = make_completion("en otro lado", {.tokens = 5});
    const auto dispatch = driver.offer(entry, work, {.resend_key = 78});
    entry.wait_for<wire::grant_message>(dispatch);
    wire::withdraw_message withdrawal;
    withdrawal.dispatch = wire::to_wire(dispatch);
    withdrawal.started_at = "pluma-2";
    withdrawal.running_dispatch = wire::id(7, 8);
    entry.send(withdrawal);
    const auto resend = driver.offer(entry, work, {.resend_key = 78});
    const auto reply = entry.wait_for<wire::offer_reply_message>(resend);
    CHECK(reply.verdict == wire::offer_verdict::known_elsewhere);
    CHECK(reply.backend_server == "pluma-2");
    CHECK(wire::from_wire(reply.running_dispatch) == dispatch_id{7, 8});
}

// The caller has disconnected and doesn't send the request again. An answer that nobody reads must not occupy
// the engine for long.
TEST_CASE("sidecar: an abandoned stream is cancelled at the engine after resend_grace", "[sidecar]") {
    cluster system(
        {.entries = 0,
         .backend_servers = {{.name = "pluma-1", .arguments = {"--output-tokens-per-second", "5"}}},
         .sidecar_settings = "resend_grace = 50ms\n"});
    sidecar_driver driver(system);
    auto entry = driver.connect();
    const auto work = make_completion("abandonado", {.tokens = 500});
    const auto dispatch = driver.offer(entry, work);
    driver.grant_and_start(entry, dispatch, work);
    entry.wait_for<wire::answer_head_message>(dispatch);
    wire::abandon_message abandon;
    abandon.dispatch = wire::to_wire(dispatch);
    entry.send(abandon);
    wait_until("the engine's cancellation", [&] { return system.server_count(0, "cancelled") == 1; });
}

// The caller of a request that isn't idempotent has disconnected. Cancelling the request could leave its
// effect half done.
TEST_CASE("sidecar: an abandoned request that is not idempotent runs to its end", "[sidecar]") {
    cluster system(
        {.entries = 0,
         .backend_servers = {{.name = "pluma-1", .arguments = {"--output-tokens-per-second", "100"}}},
         .sidecar_settings = "resend_grace = 1ms\n"});
    sidecar_driver driver(system);
    auto entry = driver.connect();
    const auto work = make_completion("una vez", {.tokens = 60});
    const auto dispatch = driver.offer(entry, work, {.idempotent = false});
    driver.grant_and_start(entry, dispatch, work);
    entry.wait_for<wire::answer_head_message>(dispatch);
    wire::abandon_message abandon;
    abandon.dispatch = wire::to_wire(dispatch);
    entry.send(abandon);
    entry.close();
    auto later = driver.connect();
    driver.attach(later, dispatch, 0);
    CHECK(text_of_stream(driver.read_answer(later, dispatch).body) == expected_text(work, 60));
    CHECK(system.server_count(0, "cancelled") == 0);
}
