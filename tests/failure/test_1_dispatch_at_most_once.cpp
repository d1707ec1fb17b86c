// Point 1: a request is dispatched at most once, whatever dies, freezes or goes silent on the way.
#include "support/checks.hpp"
#include "support/cluster.hpp"
#include "support/completion.hpp"
#include "support/wait_until.hpp"

#include <catch2/catch.hpp>

using namespace borageford;
using namespace borageford::test;

namespace {

cluster_options one_engine() {
    return {.backend_servers = {{.name = "pluma-1"}}};
}

} // namespace

// Nothing fails. What a caller sends must run once and come back whole, streamed and not.
TEST_CASE("1 at most once: without faults each request runs once and is answered whole") {
    cluster system;
    for (const auto* prompt : {"uno", "dos", "tres"}) {
        const auto call = make_completion(prompt, {.tokens = 25});
        check_whole_answer(system.send(0, call), call, 25);
        CHECK(system.runs_of(call) == 1);
    }
    const auto whole = make_completion("entero", {.tokens = 5, .streamed = false});
    const auto answer = system.send(1, whole);
    CHECK(answer.status == 200);
    CHECK(answer.body.find(expected_text(whole, 5)) != std::string::npos);
    CHECK(system.runs_of(whole) == 1);
}

// The entry's VM is paused after the sidecar granted its request and wakes when the grant has lapsed, still
// believing that it holds it. Its start comes too late; a sidecar that took it would run a request whose room
// it has given to others. The caller just sees its answer come late.
TEST_CASE("1 at most once: entry frozen between grant and start") {
    cluster system(one_engine());
    auto& link = *system.backend(0).link;
    link.arm(direction::down, is_message<wire::grant_message>(), fault::hold);
    const auto call = make_completion("congelado", {.tokens = 20});
    pending_call pending(system.entry(0).callers, call);
    link.wait_for_fault();
    system.entry(0).process->freeze();
    link.arm(direction::down, is_message<wire::not_begun_message>(), fault::pass);
    link.release();
    link.wait_for_fault(); // the grant has lapsed
    system.entry(0).process->thaw();
    check_whole_answer(pending.wait(), call, 20);
    CHECK(system.runs_of(call) == 1);
}

// After the start was sent, something on the way loses track of the connection: neither side hears the other,
// while new connections work. Sending the request again would run it twice.
TEST_CASE("1 at most once: connection silent after start with a new one working") {
    cluster system(one_engine());
    auto& link = *system.backend(0).link;
    link.arm(direction::up, is_message<wire::start_message>(), fault::pass);
    link.arm(direction::down, is_message<wire::answer_head_message>(), fault::drop_both);
    const auto call = make_completion("silencio", {.tokens = 60});
    pending_call pending(system.entry(0).callers, call);
    link.wait_for_fault();
    check_whole_answer(pending.wait(), call, 60);
    CHECK(system.runs_of(call) == 1);
}

// The start itself sits in a connection that went silent. The entry has given that connection up, asked on a
// new one and placed the request again when the old bytes arrive after all.
TEST_CASE("1 at most once: late copy of the start arriving on the old connection") {
    auto options = one_engine();
    options.sidecar_silence = "60s"; // the sidecar must still read the old connection
    cluster system(options);
    auto& link = *system.backend(0).link;
    const auto isolated = link.arm(direction::up, is_message<wire::start_message>(), fault::isolate);
    link.arm(direction::down, is_message<wire::not_begun_message>(), fault::pass); // its grant lapses
    link.arm(direction::down, is_message<wire::not_begun_message>(), fault::pass); // answers the late start
    const auto call = make_completion("copia tardia", {.tokens = 20});
    pending_call pending(system.entry(0).callers, call);
    link.wait_for_fault(isolated);
    check_whole_answer(pending.wait(), call, 20); // on a new connection
    CHECK(system.runs_of(call) == 1);
    link.release();
    link.wait_for_fault();
    CHECK(system.runs_of(call) == 1);
}

// A frame is delivered twice, as a broken middlebox might. The second start names a dispatch that has begun.
TEST_CASE("1 at most once: start delivered twice") {
    cluster system(one_engine());
    auto& link = *system.backend(0).link;
    link.arm(direction::up, is_message<wire::start_message>(), fault::duplicate);
    const auto call = make_completion("doble", {.tokens = 20});
    pending_call pending(system.entry(0).callers, call);
    link.wait_for_fault();
    check_whole_answer(pending.wait(), call, 20);
    CHECK(system.runs_of(call) == 1);
}

// The sidecar is killed in the middle of a stream and another takes its place; the engine has gone on. The
// new sidecar knows nothing of the dispatch but can ask the engine, so that the caller misses nothing.
TEST_CASE("1 at most once: sidecar killed and restarted while the engine goes on") {
    cluster system(one_engine());
    const auto call = make_completion("relevo", {.tokens = 150});
    pending_call pending(system.entry(0).callers, call);
    pending.wait_for_bytes(500);
    system.backend(0).sidecar->kill();
    system.start_sidecar(0);
    check_whole_answer(pending.wait(), call, 150);
    CHECK(system.runs_of(call) == 1);
}

// The end of an answer is lost and its connection reset. The entry can't tell whether the request has run; it
// must ask, not send again.
TEST_CASE("1 at most once: answer lost on the way back") {
    cluster system(one_engine());
    auto& link = *system.backend(0).link;
    for (const auto& lost :
         {is_message<wire::answer_head_message>(), is_message<wire::answer_end_message>()}) {
        link.arm(direction::down, lost, fault::lose);
        const auto call = make_completion("perdido", {.tokens = 30});
        const auto before = system.runs_of(call);
        pending_call pending(system.entry(0).callers, call);
        link.wait_for_fault();
        check_whole_answer(pending.wait(), call, 30);
        CHECK(system.runs_of(call) == before + 1);
    }
}

// The sidecar's call to the engine went through and the engine's answer is lost. The sidecar must take the
// stream up again, not call again.
TEST_CASE("1 at most once: engine's answer lost on the way to the sidecar") {
    cluster system(one_engine());
    auto& link = *system.backend(0).server_link;
    link.arm(direction::down, contains("event-stream"), fault::lose);
    const auto call = make_completion("respuesta perdida", {.tokens = 30});
    pending_call pending(system.entry(0).callers, call);
    link.wait_for_fault();
    check_whole_answer(pending.wait(), call, 30);
    CHECK(system.runs_of(call) == 1);
}

// Two failures together: the connection goes silent in both directions after the start, and while the entry
// still believes in it the sidecar is killed and restarted.
TEST_CASE("1 at most once: silent connection and killed sidecar together") {
    cluster system(one_engine());
    auto& link = *system.backend(0).link;
    link.arm(direction::down, is_message<wire::chunk_message>(), fault::drop_both);
    const auto call = make_completion("las dos", {.tokens = 150});
    pending_call pending(system.entry(0).callers, call);
    link.wait_for_fault();
    system.backend(0).sidecar->kill();
    system.start_sidecar(0);
    check_whole_answer(pending.wait(), call, 150);
    CHECK(system.runs_of(call) == 1);
}

// Two failures together: the entry is paused in the middle of a stream and, before it wakes, the sidecar is
// replaced by a new incarnation.
TEST_CASE("1 at most once: frozen entry and killed sidecar together") {
    cluster system(one_engine());
    const auto call = make_completion("pausa y relevo", {.tokens = 150});
    pending_call pending(system.entry(0).callers, call);
    pending.wait_for_bytes(500);
    system.entry(0).process->freeze();
    system.backend(0).sidecar->kill();
    system.start_sidecar(0);
    system.entry(0).process->thaw();
    check_whole_answer(pending.wait(), call, 150);
    CHECK(system.runs_of(call) == 1);
}
