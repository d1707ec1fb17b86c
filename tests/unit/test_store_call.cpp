// Tests calls to the store that are cancelled while they end.
#include "store/repeated_poll.hpp"
#include "store/store_call.hpp"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <chrono>
#include <cstddef>
#include <exception>
#include <string_view>
#include <thread>

using namespace borageford;
using namespace std::chrono_literals;

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

/// Answers each request at once, on a thread of its own, and closes the connection.
class answering_store {
public:
    answering_store() : m_thread([this](const std::stop_token& stop) { serve(stop); }) {}
    ~answering_store() {
        m_thread.request_stop();
        tcp::socket last(m_context); // ends the wait in accept()
        boost::system::error_code ignored;
        last.connect(address(), ignored);
    }
    answering_store(const answering_store&) = delete;
    answering_store& operator=(const answering_store&) = delete;
    answering_store(answering_store&&) = delete;
    answering_store& operator=(answering_store&&) = delete;

    [[nodiscard]] tcp::endpoint address() const { return m_acceptor.local_endpoint(); }

private:
    void serve(const std::stop_token& stop) {
        while (!stop.stop_requested()) {
            auto caller = m_acceptor.accept();
            boost::system::error_code ignored;
            asio::streambuf request;
            asio::read_until(caller, request, "\r\n\r\n", ignored);
            constexpr std::string_view answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
            asio::write(caller, asio::buffer(answer), ignored);
        }
    }

    asio::io_context m_context;
    tcp::acceptor m_acceptor{m_context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)};
    std::jthread m_thread;
};

} // namespace

TEST_CASE("a call to the store can be cancelled at any step, also while it ends", "[store]") {
    // Two polls of the store are open, both are answered at the same time, and the first answer cancels the
    // other poll while the other's end is already queued. The cancellation used a signal that had been
    // destroyed by then, and the gateway ended with a segmentation fault.
    answering_store store;
    constexpr int more_steps_than_a_call_has = 40;
    constexpr int rounds = 20;
    int ended = 0;
    for (int round = 0; round < rounds; ++round) {
        for (int step = 0; step < more_steps_than_a_call_has; ++step) {
            asio::io_context context{1};
            asio::cancellation_signal cancellation;
            bool has_ended = false;
            asio::co_spawn(
                context,
                store::call_store(context.get_executor(), store.address(), 5s, {"GET", "/rows", {}, ""},
                                  store::call_kind::read),
                asio::bind_cancellation_slot(
                    cancellation.slot(),
                    [&has_ended](const std::exception_ptr&, const http::response&) { has_ended = true; }));
            for (int done = 0; done < step && !has_ended; ++done) {
                context.run_one();
            }
            if (!has_ended) {
                cancellation.emit(asio::cancellation_type::terminal);
            }
            context.run();
            ended += has_ended ? 1 : 0;
        }
    }
    CHECK(ended == rounds * more_steps_than_a_call_has);
}
