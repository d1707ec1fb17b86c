// Accepts connections from other entries and exchanges the configuration over them.
#include "admin/revision_listener.hpp"

#include "admin/configuration_exchange.hpp"
#include "base/pause.hpp"
#include "net/listening.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <map>
#include <utility>

namespace borageford::admin {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr std::chrono::milliseconds accept_pause{100};

} // namespace

/// State that open connections share with the listener. Invariants: after construction, everything is used
/// only on the strand, which all connections share; a connection is in `connections` until it calls its
/// `closed` callback.
struct revision_listener::state : std::enable_shared_from_this<revision_listener::state> {
    state(const asio::any_io_executor& executor, timer_service& given_timers,
          configuration::configuration_follower& given_follower, peer_identity given_identity)
        : strand(asio::make_strand(executor)),
          acceptor(strand),
          timers(given_timers),
          follower(given_follower),
          identity(std::move(given_identity)) {}

    static asio::awaitable<void> accept(std::shared_ptr<state> self) {
        while (self->acceptor.is_open()) {
            boost::system::error_code error;
            auto socket =
                co_await self->acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
            if (error == asio::error::operation_aborted) {
                co_return;
            }
            if (error) {
                // The process is probably out of file descriptors. Without the pause the loop would fail
                // again at once and keep a thread busy that the open connections need to finish.
                co_await pause(self->timers, accept_pause);
            } else if (self->connections.size() < connection_limit) {
                self->start_connection(std::move(socket));
            }
        }
    }

    void start_connection(tcp::socket socket) {
        const auto number = ++last_connection_number;
        auto hello = identity.hello;
        hello.revision = follower.revision();
        auto connection = std::make_shared<wire::peer_connection>(
            std::move(socket), strand, timers, identity.heartbeat, std::move(hello),
            [self = shared_from_this()] { return self->follower.revision(); }, make_callbacks(number));
        connections.emplace(number, connection);
        connection->start();
    }

    wire::peer_connection::callbacks make_callbacks(std::uint64_t number) {
        wire::peer_connection::callbacks calls;
        calls.opened = [self = shared_from_this(), number](const wire::hello_message& hello) {
            request_if_newer(self->follower, hello.revision, *self->connections.at(number));
        };
        calls.received = [self = shared_from_this(), number](const wire::envelope& received) {
            exchange_configuration(self->follower, received, *self->connections.at(number));
        };
        calls.closed = [self = shared_from_this(), number](const std::string&) {
            self->connections.erase(number);
        };
        return calls;
    }

    void stop() {
        boost::system::error_code ignored;
        acceptor.close(ignored);
        const auto open = connections;
        for (const auto& [number, connection] : open) {
            connection->close("stopping");
        }
    }

    asio::strand<asio::any_io_executor> strand;
    tcp::acceptor acceptor;
    timer_service& timers;
    configuration::configuration_follower& follower;
    peer_identity identity;
    std::map<std::uint64_t, std::shared_ptr<wire::peer_connection>> connections;
    std::uint64_t last_connection_number = 0;
};

revision_listener::revision_listener(asio::any_io_executor executor, timer_service& timers,
                                     configuration::configuration_follower& follower, peer_identity identity)
    : m_state(std::make_shared<state>(executor, timers, follower, std::move(identity))) {}

revision_listener::~revision_listener() {
    asio::dispatch(m_state->strand, [self = m_state] { self->stop(); });
}

tcp::endpoint revision_listener::listen(const tcp::endpoint& address) {
    const auto in_use = net::listen(m_state->acceptor, address);
    asio::co_spawn(m_state->strand, state::accept(m_state), asio::detached);
    return in_use;
}

} // namespace borageford::admin
