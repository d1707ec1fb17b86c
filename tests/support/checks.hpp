// What several failure tests check about answers.
#pragma once

#include "support/answer_text.hpp"
#include "support/completion.hpp"
#include "support/http_caller.hpp"

#include <catch2/catch.hpp>

namespace borageford::test {

/// The caller has the whole answer to its own streamed call.
inline void check_whole_answer(const caller_result& answer, const http::request& call, std::uint32_t tokens) {
    INFO(answer.error << ' ' << answer.body);
    CHECK(answer.status == 200);
    CHECK(answer.is_whole);
    CHECK(has_done_mark(answer.body));
    CHECK(text_of_stream(answer.body) == expected_text(call, tokens));
}

/// The caller has the service's answer to its own call.
inline void check_service_answer(const caller_result& answer, const http::request& call) {
    INFO(answer.status << ' ' << answer.error << ' ' << answer.body);
    CHECK(answer.status == 200);
    CHECK(answer.body.find(to_hex(fingerprint_of(call.body))) != std::string::npos);
}

/// A resend of a call that has run: its answer, or that it has run and its answer is no longer held.
inline void check_has_run(const caller_result& answer, const http::request& call) {
    if (answer.status == 200) {
        check_service_answer(answer, call);
        return;
    }
    INFO(answer.status << ' ' << answer.body);
    CHECK(answer.header("X-Error-Kind") == "already_ran");
    CHECK(answer.header("X-Ran") == "yes");
}

/// The caller was refused, truthfully: the request didn't run, and it's told so.
inline void check_not_run(const caller_result& answer, std::uint64_t runs) {
    INFO(answer.status << ' ' << answer.body);
    CHECK(answer.status >= 400);
    CHECK(answer.header("X-Ran") == "no");
    CHECK(runs == 0);
}

} // namespace borageford::test
