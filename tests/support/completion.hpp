// Completion calls as callers write them, and their answers as callers read them.
#pragma once

#include "http/message.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace borageford::test {

struct completion_options {
    std::string model = "pluma";
    std::uint32_t tokens = 20;
    bool streamed = true;
    std::string api_key = "haian-key";
};

/// A chat call whose prompt is this text.
[[nodiscard]] http::request make_completion(std::string_view prompt, const completion_options& options = {});

/// A call to the plain service "kudos", which may not be repeated.
[[nodiscard]] http::request make_kudos(std::string_view chapter, std::string_view idempotency_key);

/// The same call with one more header.
[[nodiscard]] http::request with_header(http::request call, std::string name, std::string value);

/// The text of a streamed answer, put together from its events; throws when an event can't be read.
[[nodiscard]] std::string text_of_stream(std::string_view body);

/// What the engine's stand-in answers to this call.
[[nodiscard]] std::string expected_text(const http::request& call, std::uint32_t tokens);

/// True when the stream carries its own end mark.
[[nodiscard]] bool has_done_mark(std::string_view body);

} // namespace borageford::test
