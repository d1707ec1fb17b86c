// Checks of answers that several failure tests share.
#pragma once

#include "support/answer_text.hpp"
#include "support/completion.hpp"
#include "support/http_caller.hpp"

#include <catch2/catch.hpp>

namespace borageford::test {

/// Checks that the caller received the complete streamed answer of fake_engine to this call.
inline void check_complete_answer(const caller_result& answer, const http::request& call,
                                  std::uint32_t tokens) {
    INFO(answer.error << ' ' << answer.body);
    CHECK(answer.status == 200);
    CHECK(answer.is_complete);
    CHECK(has_done_mark(answer.body));
    CHECK(text_of_stream(answer.body) == expected_text(call, tokens));
}

/// Checks that the caller received fake_service's answer to this call: it contains the fingerprint of its
/// body.
inline void check_service_answer(const caller_result& answer, const http::request& call) {
    INFO(answer.status << ' ' << answer.error << ' ' << answer.body);
    CHECK(answer.status == 200);
    CHECK(answer.body.find(to_hex(fingerprint_of(call.body))) != std::string::npos);
}

/// Checks the answer to a call that was sent again after it had run: either the stored answer, or the error
/// already_ran when the answer is no longer stored.
inline void check_has_run(const caller_result& answer, const http::request& call) {
    if (answer.status == 200) {
        check_service_answer(answer, call);
        return;
    }
    INFO(answer.status << ' ' << answer.body);
    CHECK(answer.header("X-Error-Kind") == "already_ran");
    CHECK(answer.header("X-Ran") == "yes");
}

/// Checks that the caller was refused, that the response says X-Ran: no, and that the backend servers counted
/// no run.
inline void check_not_run(const caller_result& answer, std::uint64_t runs) {
    INFO(answer.status << ' ' << answer.body);
    CHECK(answer.status >= 400);
    CHECK(answer.header("X-Ran") == "no");
    CHECK(runs == 0);
}

} // namespace borageford::test
