// Builds the calls that callers send (chat completions, calls to a service) and reads streamed answers.
#pragma once

#include "http/message.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace borageford::test {

/// What a chat completion asks for; the default key is the one of the workspace haian in `cluster`.
struct completion_options {
    std::string model = "pluma";
    std::uint32_t tokens = 20;
    bool streamed = true;
    std::string api_key = "haian-key";
};

/// A chat completion with this prompt.
[[nodiscard]] http::request make_completion(std::string_view prompt, const completion_options& options = {});

/// A call to the service "kudos", which isn't idempotent and therefore carries an Idempotency-Key.
[[nodiscard]] http::request make_service_call(std::string_view chapter, std::string_view idempotency_key);

/// A copy of the call with one more header field.
[[nodiscard]] http::request with_header(http::request call, std::string name, std::string value);

/// Concatenates the text of all events of a streamed answer; throws when an event isn't valid JSON.
[[nodiscard]] std::string text_of_stream(std::string_view body);

/// The text that fake_engine answers to this call when it generates `tokens` tokens.
[[nodiscard]] std::string expected_text(const http::request& call, std::uint32_t tokens);

/// True when the streamed answer ends with the event "[DONE]".
[[nodiscard]] bool has_done_mark(std::string_view body);

} // namespace borageford::test
