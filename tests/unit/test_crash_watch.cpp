// Tests of crash_watch, against a listening socket in place of a server.
#include "base/timer_service.hpp"
#include "coordination/slot_broker.hpp"
#include "gateway/crash_watch.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>

#include <array>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

using namespace borageford;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

/// A gateway's crash_watch, and one server that accepts connections until it is told otherwise.
class watched_server {
public:
    watched_server() {
        routing::backend_record record;
        record.id = "server";
        record.address = m_acceptor.local_endpoint();
        m_server = std::make_shared<gateway::backend>(record);
    }

    /// A request with this suspect breaks off; returns when its gateway would send it to another server.
    void break_off() {
        bool is_checked = false;
        m_watch.record_broken(m_server, m_suspects, [&] { is_checked = true; });
        while (!is_checked) {
            m_context.run_one();
        }
    }
    /// A server begins an answer without a length; the process accepts the connection of the watch.
    void begin_answer() {
        m_liveness = m_watch.watch(m_server);
        accept();
    }
    /// The same while it doesn't listen any more.
    void begin_unwatched_answer() {
        stop_listening();
        m_liveness = m_watch.watch(m_server);
    }
    void accept() {
        m_acceptor.async_accept([this](const boost::system::error_code& error, tcp::socket socket) {
            if (!error) {
                m_accepted.push_back(std::move(socket));
            }
        });
        const auto known = m_accepted.size();
        while (m_accepted.size() == known) {
            m_context.run_one();
        }
    }
    /// It ends the connections that it has accepted, as it does when they have been idle.
    void end_connections() { m_accepted.clear(); }
    void kill() {
        stop_listening();
        end_connections();
    }
    /// The connection ends in order; returns whether that is taken for the end of the answer.
    bool is_whole() {
        std::optional<bool> result;
        m_watch.check_alive(m_server, m_liveness, [&](bool is_alive) { result = is_alive; });
        while (!result.has_value()) {
            m_context.run_one();
        }
        return *result;
    }
    void stop_listening() { m_acceptor.close(); }
    void crash_elsewhere() {
        m_watch.record_crash_elsewhere(m_server->record().key());
        m_context.poll();
    }
    void announce_leaving() {
        auto record = m_server->record();
        record.state = routing::backend_state::draining;
        m_server->set_record(record);
    }
    void announce_leaving_if(bool is_leaving) {
        if (is_leaving) {
            announce_leaving();
        }
    }
    [[nodiscard]] std::size_t marks() const {
        return m_slots.crashes().marks(m_suspects.front(), std::chrono::steady_clock::now());
    }

private:
    std::array<policy::crash_suspect, 1> m_suspects{{{policy::suspect_kind::request, 666}}};
    boost::asio::io_context m_context;
    timer_service m_timers;
    tcp::acceptor m_acceptor{m_context, {boost::asio::ip::address_v4::loopback(), 0}};
    coordination::slot_broker m_slots{m_context.get_executor(), m_timers, {}, {}};
    gateway::crash_watch m_watch{m_context.get_executor(), m_timers, m_slots};
    std::shared_ptr<gateway::backend> m_server;
    std::shared_ptr<gateway::liveness_watch> m_liveness;
    std::vector<tcp::socket> m_accepted;
};

} // namespace

TEST_CASE("a request that broke off is marked if the server refuses connections", "[gateway][crash_watch]") {
    watched_server server;
    server.stop_listening();
    server.break_off();
    CHECK(server.marks() == 1);
}

TEST_CASE("a request that broke off isn't marked if the server accepts connections, or leaves",
          "[gateway][crash_watch]") {
    watched_server server;
    server.break_off();
    CHECK(server.marks() == 0);
    server.announce_leaving();
    server.stop_listening();
    server.break_off();
    CHECK(server.marks() == 0);
}

TEST_CASE("a request that broke off is marked when another gateway says that the server crashed",
          "[gateway][crash_watch]") {
    // A proxy before the server goes on accepting connections, so that this gateway can't see the crash.
    watched_server server;
    server.break_off();
    server.crash_elsewhere();
    CHECK(server.marks() == 1);
}

TEST_CASE("an answer without a length is whole if its server outlives it", "[gateway][crash_watch]") {
    watched_server server;
    server.announce_leaving_if(GENERATE(false, true));
    server.begin_answer();
    CHECK(server.is_whole());
    // Its idle timeout ends the connection of the watch, which opens another one.
    server.end_connections();
    server.accept();
    CHECK(server.is_whole());
}

TEST_CASE("an answer without a length isn't whole if its server's other connections end with it",
          "[gateway][crash_watch]") {
    // The kernel ends the connections of a killed process as a server does at the end of such an answer.
    watched_server server;
    server.announce_leaving_if(GENERATE(false, true));
    server.begin_answer();
    server.kill();
    CHECK_FALSE(server.is_whole());
}

TEST_CASE("a server that refuses connections has ended its answer if it leaves, otherwise not",
          "[gateway][crash_watch]") {
    const bool is_leaving = GENERATE(false, true);
    watched_server server;
    server.announce_leaving_if(is_leaving);
    server.begin_unwatched_answer();
    CHECK(server.is_whole() == is_leaving);
}
