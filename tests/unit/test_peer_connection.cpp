// Tests when wire::peer_connection sends and answers heartbeats and when it closes an unresponsive
// connection.
#include "wire/peer_connection.hpp"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <tuple>
#include <utility>
#include <vector>

using namespace borageford;
using namespace std::chrono_literals;
using tcp = boost::asio::ip::tcp;

namespace {

constexpr auto time_limit = 20s; ///< ends a test that would otherwise hang

wire::hello_message make_hello() {
    wire::hello_message hello;
    hello.protocol_version = wire::protocol_version;
    return hello;
}

/// A peer_connection whose peer is a plain socket that the test reads and writes.
struct fixture {
    boost::asio::io_context context;
    timer_service timers;
    tcp::socket peer_socket{context};
    std::shared_ptr<wire::peer_connection> connection;
    std::string end_reason;

    void connect(std::function<bool()> has_work, wire::heartbeat_settings heartbeat) {
        tcp::acceptor acceptor(context, {boost::asio::ip::address_v4::loopback(), 0});
        peer_socket.connect(acceptor.local_endpoint());
        wire::peer_connection::callbacks calls;
        calls.opened = [](const wire::hello_message&) {
        };
        calls.received = [](const wire::envelope&) {
        };
        calls.closed = [this](const std::string& reason) {
            end_reason = reason;
            context.stop();
        };
        calls.has_work = std::move(has_work);
        connection = std::make_shared<wire::peer_connection>(
            acceptor.accept(), boost::asio::make_strand(context.get_executor()), timers, heartbeat,
            make_hello(), [] { return 1; }, std::move(calls));
        connection->start();
        boost::asio::write(peer_socket, boost::asio::buffer(wire::encode(1, make_hello())));
    }

    void run() {
        context.run_for(time_limit);
        REQUIRE(context.stopped());
    }

    /// Reads the next message that `connection` has sent; std::nullopt once it is closed.
    std::optional<wire::message> read_next() {
        boost::system::error_code error;
        std::array<std::byte, wire::frame_header_size> header{};
        if (boost::asio::read(peer_socket, boost::asio::buffer(header), error) != header.size()) {
            return std::nullopt;
        }
        std::vector<std::byte> body(wire::decode_length(header));
        boost::asio::read(peer_socket, boost::asio::buffer(body), error);
        return wire::decode(body).content;
    }

    std::vector<wire::message> read_all() {
        std::vector<wire::message> messages;
        while (auto next = read_next()) {
            messages.push_back(std::move(*next));
        }
        return messages;
    }
};

} // namespace

TEST_CASE("an unresponsive connection with work is sent a heartbeat and then closed", "[wire]") {
    // A network device drops the connection's state: the connection stays open, but no bytes arrive. It must
    // be closed, or callers whose answers are expected on it would wait until their deadlines.
    fixture parts;
    parts.connect([] { return true; }, {.period = 10ms, .silence_limit = 60ms});
    parts.run();
    CHECK(parts.end_reason == "silent");
    const auto sent = parts.read_all();
    REQUIRE(sent.size() >= 2);
    CHECK(std::holds_alternative<wire::hello_message>(sent.front()));
    CHECK(std::holds_alternative<wire::heartbeat_message>(sent.back()));
}

TEST_CASE("an unresponsive connection without work is closed as well", "[wire]") {
    // Idle connections get heartbeats less often, because most of an entry's connections are idle. A broken
    // idle connection must still be closed, so that later requests don't fail on it.
    fixture parts;
    parts.connect([] { return false; }, {.period = 10ms, .silence_limit = 60ms, .idle_periods = 3});
    parts.run();
    CHECK(parts.end_reason == "silent");
}

TEST_CASE("a heartbeat is answered with a reply", "[wire]") {
    fixture parts;
    parts.connect({}, {.period = 1h});
    wire::heartbeat_message request;
    request.sequence = 1;
    boost::asio::write(parts.peer_socket, boost::asio::buffer(wire::encode(1, request)));
    bool has_reply = false;
    const std::jthread peer([&parts, &has_reply] {
        std::ignore = parts.read_next(); // the hello
        const auto reply = parts.read_next();
        const auto* heartbeat = reply ? std::get_if<wire::heartbeat_message>(&*reply) : nullptr;
        has_reply = heartbeat != nullptr && heartbeat->is_reply;
        parts.connection->close("test");
    });
    parts.run();
    CHECK(has_reply);
}
