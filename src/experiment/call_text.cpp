// Composes the head and the body of an HTTP/1.1 request.
#include "experiment/call_text.hpp"

#include "platform/header_field_names.hpp"

#include <algorithm>
#include <string_view>

namespace borageford::experiment {

namespace {

/// The value of the field that lists the parts of a prompt; the last one belongs to the request itself.
std::string compose_parts(const std::vector<std::string>& shared) {
    std::string text;
    for (const auto& part : shared) {
        text += part + ":100,";
    }
    return text + "0:10";
}

} // namespace

std::string compose_call(const call_description& call) {
    const auto names = platform::header_field_names();
    std::string text = "POST " + call.target + " HTTP/1.1\r\n";
    const auto add = [&text](std::string_view name, const std::string& value) {
        text.append(name).append(": ").append(value).append("\r\n");
    };
    add("Host", call.host);
    add(names.request_id, call.id);
    add(names.deadline, std::to_string(std::max<std::int64_t>(1, call.time_left.count())));
    if (call.sizes.has_value()) {
        add(names.tokens, std::to_string(call.sizes->prompt) + "," + std::to_string(call.sizes->most_output));
        add(names.expected_length, std::to_string(call.sizes->hinted_output));
    }
    if (!call.parts.empty()) {
        add(names.prompt_parts, compose_parts(call.parts));
    }
    if (call.received.has_value()) {
        add(names.resumed_request, call.received->request);
        add(names.last_event, std::to_string(call.received->last_event));
    }
    if (!call.key.empty()) {
        add("Authorization", "Bearer " + call.key);
    }
    add("Content-Length", std::to_string(call.body.size()));
    return text + "\r\n" + call.body;
}

} // namespace borageford::experiment
