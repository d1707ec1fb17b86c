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
class node_query : public std::enable_shared_from_this<node_query> {
public:
    node_query(configuration_follower& follower, revision_number wanted)
        : m_follower(follower), m_wanted(wanted) {}

    /// The highest revision that the node has reported; nothing if it has reported none.
    [[nodiscard]] std::optional<revision_number> reported_revision() const { return m_reported_revision; }

    void begin(std::shared_ptr<wire::peer_connection> connection) {
        m_connection = std::move(connection);
        m_connection->start();
    }

    wire::peer_connection::callbacks make_callbacks() {
        wire::peer_connection::callbacks calls;
        calls.opened = [self = shared_from_this()](const wire::hello_message& hello) {
            self->record_revision(hello.revision);
            if (self->m_connection != nullptr) {
                request_if_newer(self->m_follower, hello.revision, *self->m_connection);
                // Every frame contains the revision of this process. A node with a lower revision requests
                // the newer configuration when it receives this frame.
                self->m_connection->send(wire::heartbeat_message());
            }
        };
        calls.received = [self = shared_from_this()](const wire::envelope& received) {
            self->record_revision(received.revision);
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
        m_on_finished = std::move(finished);
    }

    /// Ends the query and closes its connection. The query releases the connection, whose callbacks keep
    /// the query alive.
    void finish() {
        m_is_finished = true;
        if (const auto connection = std::exchange(m_connection, nullptr)) {
            connection->close("asked");
        }
        if (const auto finished = std::exchange(m_on_finished, nullptr)) {
            finished();
        }
    }

private:
    void record_revision(revision_number revision) {
        m_reported_revision = std::max(m_reported_revision.value_or(0), revision);
        if (*m_reported_revision >= m_wanted) {
            finish();
        }
    }

    configuration_follower& m_follower;
    revision_number m_wanted;
    std::optional<revision_number> m_reported_revision;
    std::shared_ptr<wire::peer_connection> m_connection;
    std::function<void()> m_on_finished;
    bool m_is_finished = false;
};

/// Completes when the query has finished.
asio::awaitable<void> wait_for(std::shared_ptr<node_query> query) {
    auto initiate = [query](auto handler) {
        // Posts, so that the coroutine isn't resumed inside a callback of the connection.
        auto executor = asio::get_associated_executor(handler);
        auto shared = std::make_shared<decltype(handler)>(std::move(handler));
        query->set_finished([executor, shared] { asio::post(executor, std::move(*shared)); });
    };
    co_await asio::async_initiate<const asio::use_awaitable_t<>, void()>(std::move(initiate),
                                                                         asio::use_awaitable);
}

struct query_context {
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
asio::awaitable<std::optional<revision_number>> run_query(query_context context) {
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
    const auto query = std::make_shared<node_query>(context.follower, context.wanted);
    auto hello = context.identity.hello;
    hello.revision = context.follower.revision();
    auto& follower = context.follower;
    query->begin(std::make_shared<wire::peer_connection>(
        std::move(socket), context.strand, context.timers, context.identity.heartbeat, std::move(hello),
        [&follower] { return follower.revision(); }, query->make_callbacks()));
    const auto limit = context.timers.after(context.strand, context.limit, [query] { query->finish(); });
    co_await wait_for(query);
    co_return query->reported_revision();
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

asio::awaitable<std::vector<node_revision>> revision_survey::query_all(revision_number wanted,
                                                                       std::chrono::milliseconds limit) {
    std::vector<store::vm> vms;
    std::vector<node_revision> nodes;
    for (const auto& [name, vm] : *m_vms.current()) {
        vms.push_back(vm);
        nodes.push_back({name, to_text(vm.role), vm.failure_domain, vm.backend_server,
                         vm.state == store::vm_state::leaving, std::nullopt});
    }
    // All coroutines that run query_remaining() share one strand, which protects `next`; each connection has
    // its own strand.
    const asio::any_io_executor strand = asio::make_strand(m_executor);
    std::size_t next = 0;
    const auto make_worker = [&] {
        return asio::co_spawn(strand, query_remaining(nodes, vms, next, wanted, limit), asio::deferred);
    };
    std::vector<decltype(make_worker())> workers;
    for (std::size_t count = 0; count < std::min(concurrency, vms.size()); ++count) {
        workers.push_back(make_worker());
    }
    if (!workers.empty()) {
        co_await asio::experimental::make_parallel_group(std::move(workers))
            .async_wait(asio::experimental::wait_for_all(), asio::use_awaitable);
    }
    co_return nodes;
}

asio::awaitable<void> revision_survey::query_remaining(std::vector<node_revision>& nodes,
                                                       const std::vector<store::vm>& vms, std::size_t& next,
                                                       revision_number wanted,
                                                       std::chrono::milliseconds limit) {
    while (next < vms.size()) {
        const auto index = next++;
        if (vms[index].name == m_identity.hello.vm) {
            nodes[index].revision = m_follower.revision();
            continue;
        }
        nodes[index].revision = co_await query_node(vms[index], wanted, limit);
    }
}

asio::awaitable<std::optional<revision_number>>
revision_survey::query_node(const store::vm& vm, revision_number wanted, std::chrono::milliseconds limit) {
    const auto strand = asio::make_strand(m_executor);
    query_context context{strand, m_timers, m_follower, m_identity, vm.address, wanted, limit};
    co_return co_await asio::co_spawn(strand, run_query(std::move(context)), asio::use_awaitable);
}

} // namespace borageford::admin
