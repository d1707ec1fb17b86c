// Guarantee 2: a caller gets the complete answer to its own request, and an incomplete answer is never
// presented as a complete one.
#include "support/checks.hpp"
#include "support/cluster.hpp"
#include "support/completion.hpp"
#include "support/wait_until.hpp"

#include <catch2/catch.hpp>

#include <memory>
#include <vector>

using namespace borageford;
using namespace borageford::test;

namespace {

cluster_options one_engine() {
    return {.backend_servers = {{.name = "pluma-1"}}};
}

/// Applies a fault to the first matching frame from the sidecar to the entry, and checks that the caller
/// still gets the complete answer of a single run.
void check_answer_survives(cluster& system, const unit_matcher& where, fault what,
                           const std::string& prompt) {
    INFO(prompt);
    auto& link = *system.backend(0).link;
    link.arm(direction::down, where, what);
    const auto call = make_completion(prompt, {.tokens = 60});
    pending_call pending(system.entry(0).callers, call);
    link.wait_for_fault();
    check_complete_answer(pending.wait(), call, 60);
    CHECK(system.runs_of(call) == 1);
}

} // namespace

// Pieces of the answer are lost, duplicated, corrupted or truncated between sidecar and entry. The caller
// must get every byte once and in order.
TEST_CASE("2 whole answers: pieces lost, doubled, damaged and cut between sidecar and entry") {
    cluster system(one_engine());
    const auto chunk = is_message<wire::chunk_message>();
    check_answer_survives(system, chunk, fault::lose, "lost");
    check_answer_survives(system, chunk, fault::duplicate, "doubled");
    check_answer_survives(system, chunk, fault::corrupt, "damaged");
    check_answer_survives(system, chunk, fault::truncate, "cut in half");
    check_answer_survives(system, is_message<wire::answer_head_message>(), fault::duplicate, "head doubled");
    check_answer_survives(system, is_message<wire::answer_end_message>(), fault::duplicate, "end doubled");
    check_answer_survives(system, is_message<wire::answer_end_message>(), fault::truncate, "end cut in half");
}

// The connection to the engine breaks in the middle of a piece of the answer. The sidecar must resume at
// exactly the next byte, because a missing or repeated byte would corrupt the event that was truncated.
TEST_CASE("2 whole answers: attach resumes at the exact byte") {
    cluster system(one_engine());
    auto& link = *system.backend(0).server_link;
    for (const auto* prompt : {"corte uno", "corte dos", "corte tres"}) {
        link.arm(direction::down, contains("delta"), fault::truncate);
        const auto call = make_completion(prompt, {.tokens = 60});
        pending_call pending(system.entry(0).callers, call);
        link.wait_for_fault();
        check_complete_answer(pending.wait(), call, 60);
        CHECK(system.runs_of(call) == 1);
    }
}

// Many slow answers share few connections, and all connections are reset in the middle of them. No caller may
// get the answer to another caller's request.
TEST_CASE("2 whole answers: crossed answers of many callers under resets") {
    cluster system;
    std::vector<http::request> calls;
    std::vector<std::unique_ptr<pending_call>> pending;
    for (std::size_t index = 0; index < 24; ++index) {
        const auto tokens = static_cast<std::uint32_t>(20 + index * 3);
        calls.push_back(make_completion("cruzada " + std::to_string(index), {.tokens = tokens}));
        pending.push_back(std::make_unique<pending_call>(system.entry(index % 2).callers, calls.back()));
    }
    pending.front()->wait_for_bytes(300);
    for (std::size_t index = 0; index < system.backend_count(); ++index) {
        system.backend(index).link->set_delay(std::chrono::milliseconds(5));
        system.backend(index).link->cut(cut_kind::reset);
        system.backend(index).server_link->cut(cut_kind::reset);
    }
    for (std::size_t index = 0; index < calls.size(); ++index) {
        check_complete_answer(pending[index]->wait(), calls[index],
                              static_cast<std::uint32_t>(20 + index * 3));
        CHECK(system.runs_of(calls[index]) == 1);
    }
}

// The engine dies in the middle of an answer and isn't restarted. A streamed answer is incomplete then, so it
// must not end like a complete one; a buffered answer must be replaced by an error.
TEST_CASE("2 whole answers: an aborted stream is never ended as if it were complete") {
    cluster system(one_engine());
    const auto streamed = make_completion("muerte", {.tokens = 400});
    const auto whole = make_completion("muerte entera", {.tokens = 400, .streamed = false});
    pending_call stream(system.entry(0).callers, streamed);
    pending_call plain(system.entry(0).callers, whole);
    stream.wait_for_bytes(500);
    static_cast<void>(system.wait_for_run(whole));
    system.backend(0).server->kill();
    const auto incomplete = stream.wait();
    CHECK(incomplete.status == 200);
    CHECK_FALSE(incomplete.is_complete);
    CHECK_FALSE(has_done_mark(incomplete.body));
    CHECK(incomplete.body.find("backend_failed") != std::string::npos);
    const auto refused = plain.wait();
    INFO(refused.body);
    CHECK(refused.status == 502);
    CHECK(refused.header("X-Ran") == "unknown");
}

// A caller loses its connection and sends the same request, with the same idempotency key, to another entry.
// It must get the complete answer without a second run at the engine.
TEST_CASE("2 whole answers: a resend at another entry attaches to the running answer") {
    cluster system;
    const auto call =
        with_header(make_completion("notas del capitulo", {.tokens = 150}), "Idempotency-Key", "notas-7");
    {
        pending_call first(system.entry(0).callers, call);
        first.wait_for_bytes(500);
    } // closes the first connection
    check_complete_answer(system.send(1, call), call, 150);
    CHECK(system.runs_of(call) == 1);
}

// The entry dies in the middle of a stream, and its caller sends the same request to another entry. The
// caller must get the complete answer without a second run.
TEST_CASE("2 whole answers: a resend after the entry died attaches to the running answer") {
    cluster system;
    const auto call =
        with_header(make_completion("borrador", {.tokens = 150}), "Idempotency-Key", "borrador-3");
    pending_call first(system.entry(0).callers, call);
    first.wait_for_bytes(500);
    system.entry(0).process->kill();
    const auto incomplete = first.wait();
    CHECK_FALSE(incomplete.is_complete);
    check_complete_answer(system.send(1, call), call, 150);
    CHECK(system.runs_of(call) == 1);
}
