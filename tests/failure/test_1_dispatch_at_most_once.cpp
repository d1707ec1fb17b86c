// Guarantee 1: a request runs at most once, even if processes die or freeze, or connections stop delivering
// data, while it is being served.
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

// Without any fault, each request must run exactly once and its caller must get the complete answer, both for
// streamed and for other requests.
TEST_CASE("1 at most once: without faults each request runs once and is answered completely") {
    cluster system;
    for (const auto* prompt : {"uno", "dos", "tres"}) {
        const auto call = make_completion(prompt, {.tokens = 25});
        check_complete_answer(system.send(0, call), call, 25);
        CHECK(system.runs_of(call) == 1);
    }
    const auto whole = make_completion("entero", {.tokens = 5, .streamed = false});
    const auto answer = system.send(1, whole);
    CHECK(answer.status == 200);
    CHECK(answer.body.find(expected_text(whole, 5)) != std::string::npos);
    CHECK(system.runs_of(whole) == 1);
}

// The entry is frozen after the sidecar granted its request, and continues after the grant has expired
// without knowing that it has. If the sidecar accepted the late start, it would run a request whose reserved
// capacity it has given to other requests. The caller must still get its answer, only later.
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
    link.wait_for_fault(); // the sidecar has sent not_begun: the grant has expired
    system.entry(0).process->thaw();
    check_complete_answer(pending.wait(), call, 20);
    CHECK(system.runs_of(call) == 1);
}

// After the start was sent, the network drops all data on its connection in both directions, while new
// connections work. If the entry sent the request again, it would run twice.
TEST_CASE("1 at most once: connection unresponsive after start while a new one works") {
    cluster system(one_engine());
    auto& link = *system.backend(0).link;
    link.arm(direction::up, is_message<wire::start_message>(), fault::pass);
    link.arm(direction::down, is_message<wire::answer_head_message>(), fault::drop_both);
    const auto call = make_completion("silencio", {.tokens = 60});
    pending_call pending(system.entry(0).callers, call);
    link.wait_for_fault();
    check_complete_answer(pending.wait(), call, 60);
    CHECK(system.runs_of(call) == 1);
}

// The network holds the start back on a connection that delivers nothing. The entry abandons that connection,
// asks for the dispatch's fate on a new one and places the request again. The delayed start, which arrives
// after that, must not run the request a second time.
TEST_CASE("1 at most once: late copy of the start arriving on the old connection") {
    auto options = one_engine();
    options.sidecar_silence = "60s"; // so that the sidecar doesn't close the old connection
    cluster system(options);
    auto& link = *system.backend(0).link;
    const auto isolated = link.arm(direction::up, is_message<wire::start_message>(), fault::isolate);
    link.arm(direction::down, is_message<wire::not_begun_message>(), fault::pass); // the grant expires
    link.arm(direction::down, is_message<wire::not_begun_message>(), fault::pass); // answer to the late start
    const auto call = make_completion("copia tardia", {.tokens = 20});
    pending_call pending(system.entry(0).callers, call);
    link.wait_for_fault(isolated);
    check_complete_answer(pending.wait(), call, 20); // arrives on a new connection
    CHECK(system.runs_of(call) == 1);
    link.release();
    link.wait_for_fault();
    CHECK(system.runs_of(call) == 1);
}

// The frame with the start is delivered twice, as a faulty network device might do. The second copy names a
// dispatch that has begun already and must not run the request again.
TEST_CASE("1 at most once: start delivered twice") {
    cluster system(one_engine());
    auto& link = *system.backend(0).link;
    link.arm(direction::up, is_message<wire::start_message>(), fault::duplicate);
    const auto call = make_completion("doble", {.tokens = 20});
    pending_call pending(system.entry(0).callers, call);
    link.wait_for_fault();
    check_complete_answer(pending.wait(), call, 20);
    CHECK(system.runs_of(call) == 1);
}

// The sidecar is killed and restarted in the middle of a stream while the engine continues to run the
// request. The new sidecar process has no record of the dispatch, so it must fetch the stream from the
// engine. The caller must get every byte of the answer.
TEST_CASE("1 at most once: sidecar killed and restarted while the engine goes on") {
    cluster system(one_engine());
    const auto call = make_completion("relevo", {.tokens = 150});
    pending_call pending(system.entry(0).callers, call);
    pending.wait_for_bytes(500);
    system.backend(0).sidecar->kill();
    system.start_sidecar(0);
    check_complete_answer(pending.wait(), call, 150);
    CHECK(system.runs_of(call) == 1);
}

// The head or the end of an answer is lost and its connection is reset, so the entry can't know whether the
// request has run. It must ask the sidecar for the dispatch's fate instead of sending the request again.
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
        check_complete_answer(pending.wait(), call, 30);
        CHECK(system.runs_of(call) == before + 1);
    }
}

// The engine receives the sidecar's request, but its answer is lost. The sidecar must resume the stream
// instead of sending the request again.
TEST_CASE("1 at most once: engine's answer lost on the way to the sidecar") {
    cluster system(one_engine());
    auto& link = *system.backend(0).server_link;
    link.arm(direction::down, contains("event-stream"), fault::lose);
    const auto call = make_completion("respuesta perdida", {.tokens = 30});
    pending_call pending(system.entry(0).callers, call);
    link.wait_for_fault();
    check_complete_answer(pending.wait(), call, 30);
    CHECK(system.runs_of(call) == 1);
}

// Two failures together: the connection stops delivering data in both directions after the start, and the
// sidecar is killed and restarted before the entry has noticed that.
TEST_CASE("1 at most once: unresponsive connection and killed sidecar together") {
    cluster system(one_engine());
    auto& link = *system.backend(0).link;
    link.arm(direction::down, is_message<wire::chunk_message>(), fault::drop_both);
    const auto call = make_completion("las dos", {.tokens = 150});
    pending_call pending(system.entry(0).callers, call);
    link.wait_for_fault();
    system.backend(0).sidecar->kill();
    system.start_sidecar(0);
    check_complete_answer(pending.wait(), call, 150);
    CHECK(system.runs_of(call) == 1);
}

// Two failures together: the entry is frozen in the middle of a stream, and the sidecar is killed and
// restarted before the entry continues.
TEST_CASE("1 at most once: frozen entry and killed sidecar together") {
    cluster system(one_engine());
    const auto call = make_completion("pausa y relevo", {.tokens = 150});
    pending_call pending(system.entry(0).callers, call);
    pending.wait_for_bytes(500);
    system.entry(0).process->freeze();
    system.backend(0).sidecar->kill();
    system.start_sidecar(0);
    system.entry(0).process->thaw();
    check_complete_answer(pending.wait(), call, 150);
    CHECK(system.runs_of(call) == 1);
}
