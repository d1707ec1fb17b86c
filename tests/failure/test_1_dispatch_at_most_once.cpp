// Point 1: a request is dispatched at most once, whatever dies, freezes or goes silent on the way.
#include "support/cluster.hpp"
#include "support/completion.hpp"
#include "support/wait_until.hpp"

#include <catch2/catch.hpp>

using namespace borageford;
using namespace borageford::test;

namespace {

/// The caller has the whole answer to its own call.
void check_whole_answer(const caller_result& answer, const http::request& call, std::uint32_t tokens) {
    INFO(answer.error << ' ' << answer.body);
    CHECK(answer.status == 200);
    CHECK(answer.is_whole);
    CHECK(has_done_mark(answer.body));
    CHECK(text_of_stream(answer.body) == expected_text(call, tokens));
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
