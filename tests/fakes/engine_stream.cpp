// Appends tokens to an answer as server-sent events, or as one JSON object at its end.
#include "fakes/engine_stream.hpp"

#include "support/answer_text.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/string.hpp>
#include <boost/json/value.hpp>

namespace borageford::test {

namespace asio = boost::asio;

engine_stream::engine_stream(const asio::any_io_executor& executor, std::string run, engine_request call)
    : id(std::move(run)),
      request(std::move(call)),
      m_quoted_model(boost::json::serialize(boost::json::value(request.model))),
      m_changed(executor, asio::steady_timer::time_point::max()) {}

void engine_stream::add_token() {
    const auto text = token_text(request.fingerprint, tokens_done);
    ++tokens_done;
    if (request.is_streamed) {
        append_event(request.is_chat
                         ? R"({"index":0,"delta":{"content":")" + text + R"("},"finish_reason":null})"
                         : R"({"index":0,"text":")" + text + R"(","finish_reason":null})");
    }
    if (tokens_done == request.output_tokens) {
        finish();
    }
    wake();
}

void engine_stream::add_rubbish() {
    bytes += "\x01\x02{{ not an answer \xff\xfe\n\n";
    is_finished = true;
    ended_at = std::chrono::steady_clock::now();
    wake();
}

void engine_stream::cancel() {
    is_cancelled = true;
    is_finished = true;
    ended_at = std::chrono::steady_clock::now();
    wake();
}

asio::awaitable<void> engine_stream::wait_for(std::size_t offset) {
    while (bytes.size() <= offset && !is_finished) {
        boost::system::error_code ignored;
        co_await m_changed.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

void engine_stream::wake() {
    m_changed.cancel();
}

void engine_stream::finish() {
    if (request.is_streamed) {
        append_event(request.is_chat ? R"({"index":0,"delta":{},"finish_reason":"stop"})"
                                     : R"({"index":0,"text":"","finish_reason":"stop"})");
        bytes += R"(data: {"id":")" + id + R"(","model":)" + m_quoted_model + R"(,"choices":[],"usage":)" +
                 usage() + "}\n\ndata: [DONE]\n\n";
    } else {
        bytes += complete_answer();
    }
    is_finished = true;
    ended_at = std::chrono::steady_clock::now();
}

void engine_stream::append_event(std::string_view choice) {
    bytes += R"(data: {"id":")";
    bytes += id;
    bytes += request.is_chat ? R"(","object":"chat.completion.chunk","created":0,"model":)"
                             : R"(","object":"text_completion","created":0,"model":)";
    bytes += m_quoted_model;
    bytes += R"(,"choices":[)";
    bytes += choice;
    bytes += "]}\n\n";
}

std::string engine_stream::usage() const {
    return R"({"prompt_tokens":)" + std::to_string(request.prompt_tokens) + R"(,"completion_tokens":)" +
           std::to_string(tokens_done) + R"(,"total_tokens":)" +
           std::to_string(request.prompt_tokens + tokens_done) +
           R"(,"prompt_tokens_details":{"cached_tokens":)" + std::to_string(cached_tokens) + "}}";
}

std::string engine_stream::complete_answer() const {
    const auto text = answer_text(request.fingerprint, tokens_done);
    const auto choice = request.is_chat ? R"({"index":0,"message":{"role":"assistant","content":")" + text +
                                              R"("},"finish_reason":"stop"})"
                                        : R"({"index":0,"text":")" + text + R"(","finish_reason":"stop"})";
    return R"({"id":")" + id + R"(","object":")" + (request.is_chat ? "chat.completion" : "text_completion") +
           R"(","created":0,"model":)" + m_quoted_model + R"(,"choices":[)" + choice + R"(],"usage":)" +
           usage() + "}";
}

} // namespace borageford::test
