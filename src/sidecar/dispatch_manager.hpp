// Manages started dispatches: runs each of them at the backend server, sends its answer to the entry
// connections that read it, keeps the answer for a while, and cancels a dispatch that no connection reads any
// more.
#pragma once

#include "sidecar/answer_delivery.hpp"
#include "sidecar/dispatch_runner.hpp"
#include "sidecar/sidecar_context.hpp"
#include "wire/message.hpp"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <vector>

namespace borageford::sidecar {

/// Manages the dispatches that the offer_scheduler has started and those that are adopted from a previous
/// process of this sidecar. Used on sidecar_context::strand only. Invariant: each dispatch ends once, and its
/// capacity at the backend server is released once.
class dispatch_manager {
public:
    using record_pointer = dispatch_store::record_pointer;

    struct callbacks {
        /// A dispatch has released capacity at the backend server or finished its prefill, so that a waiting
        /// request may be granted.
        std::function<void()> capacity_freed;
        /// How long a caller of a request of this tier should wait before it retries.
        std::function<std::chrono::milliseconds(unsigned tier)> retry_after;
    };

    dispatch_manager(sidecar_context& context, backend::backend_server& server,
                     const identifier& own_incarnation, callbacks calls);

    /// Runs a dispatch that the ledger has just recorded as started. Its answer is sent to `reader`.
    void begin(const record_pointer& dispatch, connection_id reader);

    /// Tells the connection the state of the dispatch it asks about, and sends it the answer from the
    /// requested offset on if there is one.
    void attach(connection_id connection, const wire::attach_message& request);

    /// To be called when the configuration first says which kind of backend server this sidecar has. Handles
    /// the attach messages that waited for it.
    void on_backend_known();
    /// An entry has received a complete answer.
    void acknowledge(const wire::acknowledge_message& request);
    /// An entry doesn't read the answer any more, because its caller has disconnected.
    void abandon(connection_id connection, const wire::abandon_message& request);
    /// Removes a closed connection from the readers of all running dispatches.
    void drop_connection(connection_id connection);

    /// To be called when the backend server was found to be down, before the dispatches that it ran end. Sets
    /// `is_suspect` of each dispatch whose request may have caused the crash.
    void choose_suspects();

    /// Whether a request that has a crash mark is running now.
    [[nodiscard]] bool is_running_marked() const;

private:
    dispatch_runner::callbacks make_callbacks();
    void adopt(connection_id connection, const wire::attach_message& request);
    void announce_adopted(dispatch_record& dispatch);
    void send_fate(connection_id connection, const wire::id& dispatch, wire::dispatch_fate state);
    void record_tokens(dispatch_record& dispatch, std::size_t tokens);
    void finish(const record_pointer& dispatch, answer_ending ending);
    void report_not_begun(const record_pointer& dispatch);
    void report_unknown(const record_pointer& dispatch);
    void schedule_prefill_end(const record_pointer& dispatch);
    void record_result(const dispatch_record& dispatch, const backend::usage& usage, time_point now);
    void release_capacity(dispatch_record& dispatch);
    void start_grace(const record_pointer& dispatch);
    boost::asio::awaitable<void> report_lost(record_pointer dispatch);

    /// An attach message about a dispatch of a previous process of this sidecar, received before the
    /// configuration said which kind of backend server this is.
    struct early_attach {
        connection_id connection{};
        wire::attach_message request;
    };

    sidecar_context& m_context;
    identifier m_own_incarnation;
    bool m_is_backend_known = false;
    /// Empty once `m_is_backend_known` is true; at most 10,000 messages.
    std::vector<early_attach> m_early_attaches;
    callbacks m_calls;
    answer_delivery m_delivery;
    dispatch_runner m_runner;
};

} // namespace borageford::sidecar
