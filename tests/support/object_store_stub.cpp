// Answers PUT, GET and list requests from a map in memory.
#include "support/object_store_stub.hpp"

#include <boost/json.hpp>

namespace borageford::test {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::string_view objects_path = "/objects/";

http::response refuse_malformed(error_kind kind, std::string_view /*detail*/) {
    return http::make_response(answer_for(kind).http_status, "text/plain", "");
}

} // namespace

object_store_stub::object_store_stub(const asio::any_io_executor& executor)
    : m_server(
          executor, {},
          [this](const http::request& call, http::response_writer& writer) { return handle(call, writer); },
          refuse_malformed),
      m_address(m_server.listen({asio::ip::address_v4::loopback(), 0})) {}

asio::awaitable<void> object_store_stub::handle(const http::request& call, http::response_writer& writer) {
    const auto answered = answer(call);
    if (call.method != "PUT" || is_unavailable) {
        co_await writer.write(answered);
        co_return;
    }
    if (lost_answers > 0) {
        --lost_answers;
        writer.abort();
    } else {
        co_await writer.write(answered);
    }
    if (after_put) {
        after_put();
    }
}

http::response object_store_stub::answer(const http::request& call) {
    if (is_unavailable) {
        return http::make_response(503, "text/plain", "outage");
    }
    const auto path = http::path_of(call.target);
    if (!path.starts_with(objects_path)) {
        return list(call);
    }
    const std::string key(path.substr(objects_path.size()));
    if (call.method == "PUT") {
        ++puts;
        objects[key] = call.body;
        return http::make_response(200, "application/json", "{}");
    }
    ++gets;
    const auto found = objects.find(key);
    if (found == objects.end()) {
        return http::make_response(404, "text/plain", "");
    }
    return http::make_response(200, "application/octet-stream", found->second);
}

http::response object_store_stub::list(const http::request& call) {
    ++lists;
    const auto prefix = http::query_value(call.target, "prefix").value_or("");
    const auto after = http::query_value(call.target, "after").value_or("");
    const auto limit = std::stoul(http::query_value(call.target, "limit").value_or("1000"));
    json::array found;
    for (const auto& [key, bytes] : objects) {
        if (key.starts_with(prefix) && key > after && found.size() < limit) {
            found.emplace_back(json::object{{"key", key}, {"size", bytes.size()}});
        }
    }
    return http::make_response(200, "application/json", json::serialize(json::object{{"objects", found}}));
}

} // namespace borageford::test
