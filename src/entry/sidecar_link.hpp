// One sidecar as an entry sees it: a connection opened when needed, and the requests that listen on it.
#pragma once

#include "base/identifier.hpp"
#include "base/timer_service.hpp"
#include "entry/dispatch_event.hpp"
#include "store/vm_directory.hpp"
#include "wire/peer_connection.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/strand.hpp>

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace borageford::entry {

/// What an entry last heard of a backend server's load.
struct server_load {
    std::chrono::steady_clock::time_point reported;
    std::uint32_t queued_requests = 0;
    std::uint64_t queued_tokens = 0;
    std::uint32_t running_sequences = 0;
    std::uint64_t prefill_tokens_in_progress = 0;
    std::uint32_t sequence_limit = 0;
    double prefill_tokens_per_second = 0;
    double output_tokens_per_second = 0;
    std::uint32_t expected_wait_ms = 0;      ///< of a new offer of the lowest tier
    std::vector<std::uint32_t> tier_wait_ms; ///< of a new offer of each tier, by rank
};

/// What every link of an entry shares. Outlives the links.
struct link_context {
    boost::asio::any_io_executor executor;
    timer_service& timers;
    wire::heartbeat_settings heartbeat;
    wire::hello_message own_hello;
    std::chrono::milliseconds connect_limit;
    std::chrono::milliseconds idle_limit;
    std::function<std::uint64_t()> revision;
    /// A frame of a peer that isn't about a dispatch: configuration, marks, revisions.
    std::function<void(const std::string& backend_server, wire::envelope&, wire::peer_connection&)> received;
};

/// Thread-safe. Invariants: `m_listeners`, `m_waiting` and `m_connection` are touched only on the strand;
/// every listener is told connection_lost at most once for each connection its messages went to.
class sidecar_link : public std::enable_shared_from_this<sidecar_link> {
public:
    sidecar_link(const link_context& context, store::vm vm);

    [[nodiscard]] const store::vm& vm() const noexcept { return m_vm; }

    /// Delivers what comes for this dispatch to the mailbox until forget().
    /// Then sends the message, connecting first when there is no connection.
    void send_for(const dispatch_id& dispatch, const std::shared_ptr<event_mailbox>& listener,
                  wire::message content);

    /// Sends what concerns no dispatch, connecting first when there is no connection. Lost with it.
    void send(wire::message content);

    /// Sends on the connection that stands, if any; never connects for it.
    void send_if_connected(wire::message content);

    void forget(const dispatch_id& dispatch);

    /// Ends the connection; listeners are told.
    void close(const std::string& reason);

    /// Of the process at the other end; none before the first hello.
    [[nodiscard]] identifier incarnation() const;
    [[nodiscard]] std::optional<server_load> load() const;
    /// True from the sidecar's `leaving` to the end of that connection. A new one's hello says it anew: a
    /// link that remembered it would never be offered to, and so never learn that the sidecar is back.
    [[nodiscard]] bool is_leaving() const noexcept { return m_leaving.load(); }
    /// True while the last attempt to connect failed, for a short while.
    [[nodiscard]] bool is_unreachable() const noexcept;
    [[nodiscard]] std::uint64_t peer_revision() const noexcept { return m_peer_revision.load(); }
    [[nodiscard]] bool is_connected() const noexcept { return m_connected.load(); }
    /// Offers and starts sent here since the last load report.
    [[nodiscard]] std::uint32_t sent_since_report() const noexcept { return m_sent_since_report.load(); }

private:
    void send_or_connect(wire::message content);
    void deliver(wire::envelope received);
    void connect();
    void adopt(boost::asio::ip::tcp::socket socket);
    void opened(const wire::hello_message& hello);
    void lost(const std::string& reason);
    void note_load(const wire::load_report_message& report);
    void close_when_idle();

    void pass_to_listener(const dispatch_id& dispatch, dispatch_event event);

    const link_context& m_context;
    store::vm m_vm;
    boost::asio::strand<boost::asio::any_io_executor> m_strand;
    std::shared_ptr<wire::peer_connection> m_connection;
    bool m_open = false;
    bool m_connecting = false;
    std::vector<wire::message> m_waiting;
    std::unordered_map<dispatch_id, std::shared_ptr<event_mailbox>> m_listeners;
    std::chrono::steady_clock::time_point m_last_work;
    timer_subscription m_idle_timer;
    timer_subscription m_connect_timer;

    std::atomic<bool> m_leaving = false;
    std::atomic<bool> m_connected = false;
    std::atomic<std::uint64_t> m_peer_revision = 0;
    std::atomic<std::uint32_t> m_sent_since_report = 0;
    std::atomic<std::chrono::steady_clock::rep> m_failed_at = 0;
    mutable std::mutex m_report_mutex;
    identifier m_incarnation;          ///< guarded by m_report_mutex
    std::optional<server_load> m_load; ///< guarded by m_report_mutex
};

} // namespace borageford::entry
