// An entry's link to one sidecar: the connection, which is opened on demand, and the mailboxes of the
// requests that wait for messages from the sidecar.
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

/// The latest load report of a backend server (wire::load_report_message).
struct server_load {
    std::chrono::steady_clock::time_point reported; ///< when the report was received
    std::uint32_t queued_requests = 0;
    std::uint64_t queued_tokens = 0;
    std::uint32_t running_sequences = 0;
    std::uint64_t prefill_tokens_in_progress = 0;
    std::uint32_t sequence_limit = 0;
    double prefill_tokens_per_second = 0;
    double output_tokens_per_second = 0;
    std::uint32_t expected_wait_ms = 0;      ///< expected wait of a new offer of the lowest tier
    std::vector<std::uint32_t> tier_wait_ms; ///< expected wait of a new offer of each tier, indexed by rank
};

/// Settings and callbacks that all links of an entry share. Must outlive the links.
struct link_context {
    boost::asio::any_io_executor executor;
    timer_service& timers;
    wire::heartbeat_settings heartbeat;
    wire::hello_message own_hello;
    std::chrono::milliseconds connect_limit; ///< timeout for connecting
    std::chrono::milliseconds idle_limit;    ///< idle time after which a connection is closed
    std::function<std::uint64_t()> revision; ///< returns the entry's current configuration revision
    /// Called with every message from a sidecar, after it was passed to the request that it concerns. Handles
    /// the messages that concern no request: configurations, crash marks and the sender's revision.
    std::function<void(const std::string& backend_server, wire::envelope&, wire::peer_connection&)> received;
};

/// A link to the sidecar of one VM. Thread-safe.
/// Invariants: `m_listeners`, `m_unsent_messages` and `m_connection` are accessed only on the strand; a
/// listener gets connection_lost at most once for each connection on which its messages were sent.
class sidecar_link : public std::enable_shared_from_this<sidecar_link> {
public:
    sidecar_link(const link_context& context, store::vm vm);

    [[nodiscard]] const store::vm& vm() const noexcept { return m_vm; }

    /// Registers the mailbox as the listener of this dispatch until remove_listener() or until the connection
    /// is lost, and sends the message. Connects first when there is no connection.
    void send_for_dispatch(const dispatch_id& dispatch, const std::shared_ptr<event_mailbox>& listener,
                           wire::message content);

    /// Sends a message that concerns no dispatch. Connects first when there is no connection. The message is
    /// lost without notice if the connection fails.
    void send(wire::message content);

    /// Sends the message if there is a connection, and drops it otherwise.
    void send_if_connected(wire::message content);

    /// Removes the listener of this dispatch.
    void remove_listener(const dispatch_id& dispatch);

    /// Closes the connection; all listeners get connection_lost. The reason is written to the log.
    void close(const std::string& reason);

    /// The incarnation of the sidecar process; the zero identifier before its first hello message.
    [[nodiscard]] identifier incarnation() const;
    /// The latest load report; nothing before the first one.
    [[nodiscard]] std::optional<server_load> load() const;
    /// True from the sidecar's `leaving` message, which says that it shuts down, until that connection ends.
    /// The state isn't kept beyond the connection: a sidecar that counted as shutting down would get no
    /// offers, so no connection to it would be opened and its hello message with the new state would never
    /// arrive.
    [[nodiscard]] bool is_shutting_down() const noexcept { return m_is_shutting_down.load(); }
    /// True for a short time after an attempt to connect has failed.
    [[nodiscard]] bool is_unreachable() const noexcept;
    /// The configuration revision of the sidecar, from its latest message.
    [[nodiscard]] std::uint64_t peer_revision() const noexcept { return m_peer_revision.load(); }
    [[nodiscard]] bool is_connected() const noexcept { return m_is_connected.load(); }
    /// The number of messages sent with send_for_dispatch() (such as offers and starts) since the last
    /// load report.
    [[nodiscard]] std::uint32_t sent_since_report() const noexcept { return m_sent_since_report.load(); }

private:
    void send_or_connect(wire::message content);
    void handle_message(wire::envelope received);
    void connect();
    void start_connection(boost::asio::ip::tcp::socket socket);
    void on_opened(const wire::hello_message& hello);
    void on_closed(const std::string& reason);
    void record_load(const wire::load_report_message& report);
    void close_if_idle();

    void notify_listener(const dispatch_id& dispatch, dispatch_event event);

    const link_context& m_context;
    store::vm m_vm;
    boost::asio::strand<boost::asio::any_io_executor> m_strand;
    std::shared_ptr<wire::peer_connection> m_connection;
    bool m_is_open = false; ///< the sidecar's hello message has arrived on m_connection
    bool m_is_connecting = false;
    std::vector<wire::message> m_unsent_messages; ///< messages to send once the connection is open
    std::unordered_map<dispatch_id, std::shared_ptr<event_mailbox>> m_listeners;
    std::chrono::steady_clock::time_point m_last_message_time; ///< when a message was last sent or delivered
    timer_subscription m_idle_timer;
    timer_subscription m_connect_timer;

    std::atomic<bool> m_is_shutting_down = false;
    std::atomic<bool> m_is_connected = false;
    std::atomic<std::uint64_t> m_peer_revision = 0;
    std::atomic<std::uint32_t> m_sent_since_report = 0;
    /// Time of the last failed attempt to connect, in ticks of the clock; 0: none since the last connection.
    std::atomic<std::chrono::steady_clock::rep> m_connect_failure_time = 0;
    mutable std::mutex m_report_mutex;
    identifier m_incarnation;          ///< guarded by m_report_mutex
    std::optional<server_load> m_load; ///< guarded by m_report_mutex
};

} // namespace borageford::entry
