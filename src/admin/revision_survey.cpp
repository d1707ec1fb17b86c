// Implements revision_survey: opens a short-lived connection to each node and reads the revision that the
// node reports.
#include "admin/revision_survey.hpp"

#include "admin/configuration_exchange.hpp"

#include <boost/asio/associated_executor.hpp>
#include <boost/asio/async_result.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/deferred.hpp>
#include <boost/asio/experimental/parallel_group.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <functional>
#include <memory>
#include <utility>

namespace borageford::admin {

namespace asio = boost::asio;
using configuration::configuration_follower;
using configuration::revision_number;
using tcp = asio::ip::tcp;

namespace {

/// Asks one node for its revision. Used only on the strand of its connection. Invariant: the callback set by
/// set_finished() is called at most once.
class node_inquiry : public std::enable_shared_from_this<node_inquiry> {
public:
    node_inquiry(configuration_follower& follower, revision_number wanted)
        : m_follower(follower), m_wanted(wanted) {}

    /// The highest revision that the node has reported; nothing if it has reported none.
    [[nodiscard]] std::optional<revision_number> seen() const { return m_seen; }

    void begin(std::shared_ptr<wire::peer_connection> connection) {
        m_connection = std::move(connection);
        m_connection->start();
    }

    wire::peer_connection::callbacks make_calls() {
        wire::peer_connection::callbacks calls;
        calls.opened = [self = shared_from_this()](const wire::hello_message& hello) {
            self->note(hello.revision);
            if (self->m_connection != nullptr) {
                ask_when_behind(self->m_follower, hello.revision, *self->m_connection);
                // Every frame contains the revision of this process. A node with a lower revision requests
                // the newer configuration when it receives this frame.
                self->m_connection->send(wire::heartbeat_message());
            }
        };
        calls.received = [self = shared_from_this()](const wire::envelope& received) {
            self->note(received.revision);
            if (self->m_connection != nullptr) {
                exchange_configuration(self->m_follower, received, *self->m_connection);
            }
        };
        calls.closed = [self = shared_from_this()](const std::string&) {
            self->finish();
        };
        return calls;
    }

    void set_finished(std::function<void()> finished) {
        if (m_is_finished) {
            finished();
            return;
        }
        m_finished = std::move(finished);
    }

    /// Ends the inquiry and closes its connection. The inquiry releases the connection, whose callbacks keep
    /// the inquiry alive.
    void finish() {
        m_is_finished = true;
        if (const auto connection = std::exchange(m_connection, nullptr)) {
            connection->close("asked");
        }
        if (const auto finished = std::exchange(m_finished, nullptr)) {
            finished();
        }
    }

private:
    void note(revision_number revision) {
        m_seen = std::max(m_seen.value_or(0), revision);
        if (*m_seen >= m_wanted) {
            finish();
        }
    }

    configuration_follower& m_follower;
    revision_number m_wanted;
    std::optional<revision_number> m_seen;
    std::shared_ptr<wire::peer_connection> m_connection;
    std::function<void()> m_finished;
    bool m_is_finished = false;
};

/// Completes when the inquiry has finished.
asio::awaitable<void> wait_for(std::shared_ptr<node_inquiry> inquiry) {
    auto initiate = [inquiry](auto handler) {
        // Posts, so that the coroutine isn't resumed inside a callback of the connection.
        auto executor = asio::get_associated_executor(handler);
        auto shared = std::make_shared<decltype(handler)>(std::move(handler));
        inquiry->set_finished([executor, shared] { asio::post(executor, std::move(*shared)); });
    };
    co_await asio::async_initiate<const asio::use_awaitable_t<>, void()>(std::move(initiate),
                                                                         asio::use_awaitable);
}

struct inquiry_context {
    asio::strand<asio::any_io_executor> strand;
    timer_service& timers;
    configuration_follower& follower;
    peer_identity identity;
    tcp::endpoint address;
    revision_number wanted;
    std::chrono::milliseconds limit;
};

/// Asks the node at the context's address. Returns the revision that it reported, nothing if the node wasn't
/// reached. Must run on the context's strand.
asio::awaitable<std::optional<revision_number>> inquire(inquiry_context context) {
    tcp::socket socket(context.strand);
    auto give_up = context.timers.after(context.strand, context.limit, [&socket] {
        boost::system::error_code ignored;
        socket.close(ignored);
    });
    boost::system::error_code error;
    co_await socket.async_connect(context.address, asio::redirect_error(asio::use_awaitable, error));
    give_up.cancel();
    if (error || !socket.is_open()) {
        co_return std::nullopt;
    }
    const auto inquiry = std::make_shared<node_inquiry>(context.follower, context.wanted);
    auto hello = context.identity.hello;
    hello.revision = context.follower.revision();
    auto& follower = context.follower;
    inquiry->begin(std::make_shared<wire::peer_connection>(
        std::move(socket), context.strand, context.timers, context.identity.heartbeat, std::move(hello),
        [&follower] { return follower.revision(); }, inquiry->make_calls()));
    const auto limit = context.timers.after(context.strand, context.limit, [inquiry] { inquiry->finish(); });
    co_await wait_for(inquiry);
    co_return inquiry->seen();
}

std::string to_text(store::vm_role role) {
    return role == store::vm_role::entry ? "entry" : "sidecar";
}

} // namespace

revision_survey::revision_survey(asio::any_io_executor executor, timer_service& timers,
                                 configuration_follower& follower, store::vm_directory& vms,
                                 peer_identity identity)
    : m_executor(std::move(executor)),
      m_timers(timers),
      m_follower(follower),
      m_vms(vms),
      m_identity(std::move(identity)) {}

asio::awaitable<std::vector<node_revision>> revision_survey::ask_all(revision_number wanted,
                                                                     std::chrono::milliseconds limit) {
    std::vector<store::vm> vms;
    std::vector<node_revision> nodes;
    for (const auto& [name, vm] : *m_vms.current()) {
        vms.push_back(vm);
        nodes.push_back({name, to_text(vm.role), vm.failure_domain, vm.backend_server,
                         vm.state == store::vm_state::leaving, std::nullopt});
    }
    // All coroutines that run ask_some() share one strand, which protects `next`; each connection has its own
    // strand.
    const asio::any_io_executor strand = asio::make_strand(m_executor);
    std::size_t next = 0;
    const auto make_asker = [&] {
        return asio::co_spawn(strand, ask_some(nodes, vms, next, wanted, limit), asio::deferred);
    };
    std::vector<decltype(make_asker())> askers;
    for (std::size_t count = 0; count < std::min(concurrency, vms.size()); ++count) {
        askers.push_back(make_asker());
    }
    if (!askers.empty()) {
        co_await asio::experimental::make_parallel_group(std::move(askers))
            .async_wait(asio::experimental::wait_for_all(), asio::use_awaitable);
    }
    co_return nodes;
}

asio::awaitable<void> revision_survey::ask_some(std::vector<node_revision>& nodes,
                                                const std::vector<store::vm>& vms, std::size_t& next,
                                                revision_number wanted, std::chrono::milliseconds limit) {
    while (next < vms.size()) {
        const auto index = next++;
        if (vms[index].name == m_identity.hello.vm) {
            nodes[index].revision = m_follower.revision();
            continue;
        }
        nodes[index].revision = co_await ask(vms[index], wanted, limit);
    }
}

asio::awaitable<std::optional<revision_number>>
revision_survey::ask(const store::vm& vm, revision_number wanted, std::chrono::milliseconds limit) {
    const auto strand = asio::make_strand(m_executor);
    inquiry_context context{strand, m_timers, m_follower, m_identity, vm.address, wanted, limit};
    co_return co_await asio::co_spawn(strand, inquire(std::move(context)), asio::use_awaitable);
}

} // namespace borageford::admin
