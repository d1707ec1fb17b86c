// Tests of the HTTP client, against a server whose answers the test writes.
#include "http/client.hpp"
#include "support/run_until.hpp"
#include "support/scripted_server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <exception>
#include <optional>
#include <string>
#include <vector>

using namespace borageford;
using test::scripted_server;

namespace {

/// What became of an exchange.
struct outcome {
    std::string body;
    std::optional<http::exchange_stage> failed_at;
};

outcome fetch(boost::asio::io_context& context, const scripted_server& server,
              const http::exchange_limits& limits = {}) {
    const auto address = server.address();
    const http::request call;
    outcome result;
    bool is_over = false;
    const auto handle_end = [&](const std::exception_ptr& thrown, const http::response& answer) {
        is_over = true;
        result.body = answer.body;
        try {
            if (thrown != nullptr) {
                std::rethrow_exception(thrown);
            }
        } catch (const http::exchange_error& error) {
            result.failed_at = error.stage();
        }
    };
    boost::asio::co_spawn(context, http::fetch(context.get_executor(), address, call, limits), handle_end);
    test::run_until(context, [&] { return is_over; });
    return result;
}

} // namespace

TEST_CASE("a second answer isn't read by the next exchange of the HTTP client", "[http][client]") {
    boost::asio::io_context context;
    scripted_server server(context);
    server.add(
        {"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1"});
    server.add({"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n2"});
    CHECK(fetch(context, server).body == "1");
    CHECK(fetch(context, server).body == "2");
    CHECK(server.arrivals() == std::vector<std::size_t>{0, 1});
}
