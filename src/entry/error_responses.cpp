// Builds the bodies and headers of error responses from the table of error kinds (answer_for()).
#include "entry/error_responses.hpp"

#include <boost/json.hpp>

namespace borageford::entry {
namespace {

namespace json = boost::json;

json::object error_body(const request_error& error, const request_id& id) {
    const auto& row = answer_for(error.kind());
    json::object fields{{"message", error.what()},
                        {"type", row.name},
                        {"code", row.name},
                        {"param", nullptr},
                        {"ran", to_string(row.ran)},
                        {"retry", to_string(row.retry)},
                        {"request_id", id.to_string()}};
    if (error.retry_after()) {
        fields["retry_after_ms"] = error.retry_after()->count();
    }
    return {{"error", std::move(fields)}};
}

} // namespace

http::response error_response(const request_error& error, const request_id& id) {
    const auto& row = answer_for(error.kind());
    auto answer = http::make_response(row.http_status, "application/json",
                                      json::serialize(error_body(error, id)) + "\n");
    answer.head.headers.push_back({"X-Request-Id", id.to_string()});
    answer.head.headers.push_back({"X-Error-Kind", std::string(row.name)});
    answer.head.headers.push_back({"X-Ran", std::string(to_string(row.ran))});
    if (error.retry_after()) {
        // Retry-After has whole seconds. They are rounded up, since a caller that retries too early is only
        // refused again.
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(*error.retry_after()).count();
        answer.head.headers.push_back({"Retry-After", std::to_string(seconds)});
    }
    return answer;
}

std::string error_event(const request_error& error, const request_id& id) {
    return "data: " + json::serialize(error_body(error, id)) + "\n\n";
}

} // namespace borageford::entry
