// Tests of backend_call, against a server whose answers the test writes.
#include "gateway/backend_call.hpp"
#include "support/run_until.hpp"
#include "support/scripted_server.hpp"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

using namespace borageford;
using namespace std::string_literals;
using gateway::backend_call;
using gateway::call_failure;
using test::scripted_answer;
using test::scripted_end;
using test::scripted_server;

namespace {

std::string answer_to(const std::string& id, const std::string& body = "whole") {
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

std::string refusal_of(const std::string& id) {
    return "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: " + id +
           "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
}

constexpr std::size_t far_too_many = 64U * 1024 * 1024;

/// What became of a call.
struct outcome {
    unsigned status = 0; ///< 0: it failed
    std::string body;
    std::optional<call_failure> failure;
};

/// One server, and calls to it one after the other.
class called_server {
public:
    called_server() : m_server(m_context) {
        routing::backend_record record;
        record.id = "server";
        record.address = m_server.address();
        record.state = routing::backend_state::ready;
        m_backend = std::make_shared<gateway::backend>(record);
    }

    [[nodiscard]] scripted_server& server() noexcept { return m_server; }
    [[nodiscard]] boost::asio::io_context& context() noexcept { return m_context; }

    /// Ends when the call is over, or when the server has sent far more than any answer may need.
    outcome call(const std::string& id, std::string_view body = {}) {
        gateway::backend_request request;
        request.head = "POST /x HTTP/1.1\r\nRequest-Id: " + id +
                       "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
        request.body = body;
        request.request_id = id;
        request.request_id_name = "Request-Id";
        outcome result;
        bool is_over = false;
        std::shared_ptr<backend_call> running;
        running = std::make_shared<backend_call>(
            m_context.get_executor(), m_backend, std::move(request),
            backend_call::handlers{[&] { result.status = running->response().status(); },
                                   [&](std::string_view bytes) {
                                       result.body.append(bytes);
                                       m_server.release_ends();
                                   },
                                   [&] { is_over = true; },
                                   [&](call_failure what, std::string_view) {
                                       result = {0, std::move(result.body), what};
                                       is_over = true;
                                   }});
        running->start();
        test::run_until(m_context, [&] { return is_over || m_server.endless_bytes() > far_too_many; });
        running->cancel();
        return result;
    }

private:
    boost::asio::io_context m_context;
    scripted_server m_server;
    std::shared_ptr<gateway::backend> m_backend;
};

} // namespace

TEST_CASE("a connection is used again by other requests", "[gateway][backend_call]") {
    called_server called;
    called.server().add({answer_to("a")});
    called.server().add({answer_to("b")});
    CHECK(called.call("a").status == 200);
    CHECK(called.call("b").status == 200);
    CHECK(called.server().arrivals() == std::vector<std::size_t>{0, 0});
}

TEST_CASE("a request isn't sent again on a connection that has carried it", "[gateway][backend_call]") {
    // The server repeats its first answer late, which on that connection would pass for the second one.
    called_server called;
    called.server().add({refusal_of("a")});
    called.server().add({answer_to("b")});
    called.server().add({answer_to("a")});
    CHECK(called.call("a").status == 503);
    CHECK(called.call("b").status == 200);
    CHECK(called.call("a").status == 200);
    CHECK(called.server().arrivals() == std::vector<std::size_t>{0, 0, 1});
}

TEST_CASE("an answer to an earlier request is passed over, and its connection isn't kept",
          "[gateway][backend_call]") {
    called_server called;
    called.server().add({refusal_of("a")});
    called.server().add({refusal_of("a") + answer_to("b", "b's own")});
    called.server().add({answer_to("c")});
    CHECK(called.call("a").status == 503);
    CHECK(called.call("b").body == "b's own");
    CHECK(called.call("c").status == 200);
    CHECK(called.server().arrivals() == std::vector<std::size_t>{0, 0, 1});
}

TEST_CASE("an answer that names no request is passed over", "[gateway][backend_call]") {
    called_server called;
    called.server().add({answer_to("a")});
    called.server().add({"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" + answer_to("b", "b's own")});
    CHECK(called.call("a").status == 200);
    CHECK(called.call("b").body == "b's own");
}

TEST_CASE("an answer that names two requests is passed over", "[gateway][backend_call]") {
    called_server called;
    for (const auto* names :
         {"Request-Id: a\r\nRequest-Id: other\r\n", "Request-Id: other\r\nRequest-Id: a\r\n",
          "Request-Id: a\r\nRequest-Id: \r\n", "Request-Id: a, other\r\n"}) {
        CAPTURE(names);
        called.server().add(
            {"HTTP/1.1 200 OK\r\n"s + names + "Content-Length: 2\r\n\r\nok" + answer_to("a", "a's own")});
        CHECK(called.call("a").body == "a's own");
    }
    called.server().add({"HTTP/1.1 200 OK\r\nRequest-Id: b\r\nrequest-id: b\r\nContent-Length: 2\r\n\r\nok"});
    CHECK(called.call("b").body == "ok");
}

TEST_CASE("a connection on which bytes arrive between two requests isn't used again",
          "[gateway][backend_call]") {
    called_server called;
    called.server().add({answer_to("a") + answer_to("a")});
    called.server().add({answer_to("b", "b's own")});
    CHECK(called.call("a").status == 200);
    CHECK(called.call("b").body == "b's own");
    CHECK(called.server().arrivals() == std::vector<std::size_t>{0, 1});
}

TEST_CASE("a request without an id gets a connection of its own", "[gateway][backend_call]") {
    called_server called;
    called.server().add({answer_to("a")});
    called.server().add({"HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"});
    called.server().add({answer_to("c")});
    CHECK(called.call("a").status == 200);
    CHECK(called.call("").status == 400);
    CHECK(called.call("c").status == 200);
    CHECK(called.server().arrivals() == std::vector<std::size_t>{0, 1, 0});
}

TEST_CASE("a connection is replaced before its record of requests grows without bound",
          "[gateway][backend_call]") {
    constexpr std::size_t calls = 600;
    called_server called;
    for (std::size_t number = 0; number < calls; ++number) {
        const auto id = std::to_string(number);
        called.server().add({answer_to(id)});
        CHECK(called.call(id).status == 200);
    }
    CHECK(called.server().arrivals().front() == 0);
    CHECK(called.server().arrivals().back() == 1);
}

TEST_CASE("bytes without end that are no answer end the call, which may have run",
          "[gateway][backend_call]") {
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::string own = head + "Request-Id: a\r\n";
    const std::string foreign = head + "Request-Id: other\r\n";
    const std::string padding(4000, 'x');
    const auto answer = GENERATE_COPY(values<scripted_answer>({
        {"", padding},                                                  // no status line
        {"HTTP/1.1 200 ", padding},                                     // a status line
        {head, "X-Padding: " + padding + "\r\n"},                       // fields
        {head + "X-Padding: ", padding},                                // one field
        {"", "HTTP/1.1 102 Processing\r\n\r\n"},                        // interim answers
        {"", answer_to("other", padding)},                              // answers to another request
        {foreign + "\r\n", padding},                                    // one of them without a length
        {foreign + "Content-Length: 999999999999\r\n\r\n", padding},    // with a length
        {foreign + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"}, // in chunks
        {own + "Transfer-Encoding: chunked\r\n\r\n1;", padding},        // an extension of a chunk
        {own + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n"},  // fields after the last chunk
        {own + "Transfer-Encoding: chunked\r\n\r\n0\r\nX: ", padding},  // one such field
    }));
    CAPTURE(answer.bytes, answer.endless.substr(0, 30));
    called_server called;
    called.server().add(answer);
    const auto result = called.call("a");
    CHECK(result.failure == call_failure::unknown);
    CHECK(called.server().endless_bytes() < far_too_many);
    test::run_until(called.context(), [&] { return called.server().open_connections() == 0; });
}

TEST_CASE("a sound answer is whole whatever its length", "[gateway][backend_call]") {
    constexpr std::size_t long_body = 32U * 1024 * 1024;
    called_server called;
    called.server().add({answer_to("a", std::string(long_body, 'x'))});
    const auto result = called.call("a");
    CHECK(result.status == 200);
    CHECK(result.body.size() == long_body);
}

TEST_CASE("a part of an answer without a length isn't taken for the whole when the upload is broken off",
          "[gateway][backend_call]") {
    // The server answers at once, sends a part of the body and resets the connection during the upload.
    constexpr std::size_t more_than_buffers_take = 40'000'000;
    const auto end = GENERATE(scripted_end::reset, scripted_end::close, scripted_end::shut_down_and_reset);
    const bool is_part_read_first = GENERATE(false, true);
    // If the server's kernel has taken the whole upload, only a reset tells that the server hasn't.
    const std::size_t upload =
        end == scripted_end::reset ? GENERATE(1'000, 300'000, 40'000'000) : more_than_buffers_take;
    const std::size_t read_before = GENERATE(0, 100'000);
    CAPTURE(end, is_part_read_first, upload, read_before);
    const std::string body(upload, 'u');
    const auto head = "HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\n"s;
    for (const std::size_t first_read : {10, 1024, 4096, 30'000}) {
        const std::string part(std::max(first_read, head.size() + 1) - head.size(), 'p');
        called_server called;
        called.server().add({.bytes = head + part,
                             .end = end,
                             .holds_end = is_part_read_first,
                             .read_before = std::min(read_before, upload - 1)});
        CHECK(called.call("a", body).failure == call_failure::unknown);
    }
}

TEST_CASE("an answer without a length is whole when its server still takes the rest of the upload",
          "[gateway][backend_call]") {
    const std::size_t upload = GENERATE(0, 1'000, 300'000, 40'000'000);
    const std::string body(upload, 'u');
    called_server called;
    called.server().add({.bytes = "HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\nwhole",
                         .end = scripted_end::shut_down,
                         .read_before = 0});
    const auto result = called.call("a", body);
    CHECK(result.status == 200);
    CHECK(result.body == "whole");
    test::run_until(called.context(), [&] { return called.server().body_bytes() == upload; });
}
