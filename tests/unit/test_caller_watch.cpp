// Tests http::response_writer::wait_for_disconnect() while the answer is being prepared.
#include "http/client.hpp"
#include "http/server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <catch2/catch.hpp>

#include <atomic>
#include <thread>
#include <vector>

using namespace borageford;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

constexpr int callers = 16;
constexpr int calls_each = 60;

asio::awaitable<void> watch(http::response_writer writer) {
    co_await writer.wait_for_disconnect();
}

/// Answers after 3 ms, during which wait_for_disconnect() is pending.
asio::awaitable<void> answer_later(const http::request& /*call*/, http::response_writer& writer) {
    const auto executor = co_await asio::this_coro::executor;
    asio::co_spawn(executor, watch(writer), asio::detached);
    asio::steady_timer work(executor, 3ms);
    co_await work.async_wait(asio::use_awaitable);
    co_await writer.write(http::make_response(200, "text/plain", "done"));
}

asio::awaitable<void> call_often(http::endpoint server, std::atomic<int>& answered) {
    const auto executor = co_await asio::this_coro::executor;
    http::request call;
    call.method = "POST";
    call.body.assign(5000, 'x');
    for (int count = 0; count < calls_each; ++count) {
        const auto answer = co_await http::fetch(executor, server, call, {});
        answered += answer.head.status == 200 ? 1 : 0;
    }
}

} // namespace

// The wait for a caller's disconnect can end although no data has arrived. A blocking read at that point
// would occupy the thread until the caller closed its connection; one request in a hundred hung that way,
// together with other requests on the same thread.
TEST_CASE("waiting for a caller's disconnect blocks no thread", "[http]") {
    asio::io_context context(2);
    http::server server(context.get_executor(), {}, answer_later, [](error_kind, std::string_view) {
        return http::make_response(400, "text/plain", "");
    });
    const auto address = server.listen({asio::ip::address_v4::loopback(), 0});
    std::atomic<int> answered = 0;
    std::atomic<int> running = callers;
    for (int caller = 0; caller < callers; ++caller) {
        asio::co_spawn(context, call_often(address, answered), [&](const std::exception_ptr& /*failure*/) {
            if (--running == 0) {
                context.stop();
            }
        });
    }
    {
        const std::jthread second([&context] { context.run(); });
        context.run();
    }
    CHECK(answered == callers * calls_each);
}
