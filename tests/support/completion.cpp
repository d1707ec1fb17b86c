// Builds completion and service calls and reads the text out of streamed answers.
#include "support/completion.hpp"

#include "support/answer_text.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace borageford::test {

namespace json = boost::json;

namespace {

constexpr std::string_view data_prefix = "data: ";
constexpr std::string_view done_mark = "data: [DONE]";

/// The text that one event of a streamed answer adds; empty for an event without content.
std::string text_of_event(std::string_view event) {
    const auto parsed = json::parse(json::string_view(event.data(), event.size()));
    const auto& choices = parsed.at("choices").as_array();
    if (choices.empty()) {
        return {};
    }
    const auto& delta = choices.front().at("delta").as_object();
    const auto* content = delta.if_contains("content");
    return content == nullptr ? std::string() : std::string(content->as_string());
}

} // namespace

http::request make_completion(std::string_view prompt, const completion_options& options) {
    json::object message;
    message["role"] = "user";
    message["content"] = json::string_view(prompt.data(), prompt.size());
    json::object body;
    body["model"] = options.model;
    body["stream"] = options.streamed;
    body["max_tokens"] = options.tokens;
    body["messages"] = json::array{message};
    http::request call;
    call.method = "POST";
    call.target = "/v1/chat/completions";
    call.headers = {{"Authorization", "Bearer " + options.api_key}, {"Content-Type", "application/json"}};
    call.body = json::serialize(body);
    return call;
}

http::request make_service_call(std::string_view chapter, std::string_view idempotency_key) {
    http::request call;
    call.method = "POST";
    call.target = "/services/kudos/give";
    call.headers = {{"Authorization", "Bearer tinta-key"},
                    {"Content-Type", "application/json"},
                    {"Idempotency-Key", std::string(idempotency_key)}};
    call.body = json::serialize(json::object{{"chapter", json::string_view(chapter.data(), chapter.size())}});
    return call;
}

http::request with_header(http::request call, std::string name, std::string value) {
    call.headers.push_back({std::move(name), std::move(value)});
    return call;
}

std::string text_of_stream(std::string_view body) {
    std::string text;
    while (!body.empty()) {
        const auto end = body.find("\n\n");
        const auto event = body.substr(0, end);
        body.remove_prefix(end == std::string_view::npos ? body.size() : end + 2);
        if (event.starts_with(data_prefix) && event != done_mark) {
            text += text_of_event(event.substr(data_prefix.size()));
        }
    }
    return text;
}

std::string expected_text(const http::request& call, std::uint32_t tokens) {
    return answer_text(fingerprint_of(call.body), tokens);
}

bool has_done_mark(std::string_view body) {
    return body.ends_with("data: [DONE]\n\n");
}

} // namespace borageford::test
