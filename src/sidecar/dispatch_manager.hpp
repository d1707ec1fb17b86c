// Follows every started dispatch: runs it, sends its answer to those who read it, keeps the answer, and ends
// it when nobody waits for it.
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

/// Used on the strand. Invariant: each started dispatch ends once, and gives its room back once.
class dispatch_manager {
public:
    using record_pointer = dispatch_store::record_pointer;

    struct callbacks {
        /// A dispatch has given room back, or has ended its prefill.
        std::function<void()> room_freed;
        /// When a caller of this tier should come back.
        std::function<std::chrono::milliseconds(unsigned tier)> retry_after;
    };

    dispatch_manager(sidecar_context& context, backend::backend_server& server,
                     const identifier& own_incarnation, callbacks calls);

    /// Runs a dispatch that the ledger has just begun, for its first reader.
    void begin(const record_pointer& dispatch, connection_id reader);

    void attach(connection_id connection, const wire::attach_message& request);

    /// The configuration says what stands behind this sidecar: questions that waited for it are answered.
    void note_backend_known();
    void acknowledge(const wire::acknowledge_message& request);
    void abandon(connection_id connection, const wire::abandon_message& request);
    void drop_connection(connection_id connection);

    /// The backend server was found gone: settles which requests may be what it died of.
    void choose_suspects();

    /// Whether a request that ran beside a dead server already is running now.
    [[nodiscard]] bool is_running_marked() const;

private:
    dispatch_runner::callbacks make_callbacks();
    void adopt(connection_id connection, const wire::attach_message& request);
    void announce_adopted(dispatch_record& dispatch);
    void send_fate(connection_id connection, const wire::id& dispatch, wire::dispatch_fate state);
    void count_tokens(dispatch_record& dispatch, std::size_t tokens);
    void end(const record_pointer& dispatch, answer_ending ending);
    void take_back(const record_pointer& dispatch);
    void forget_unknown(const record_pointer& dispatch);
    void watch_prefill(const record_pointer& dispatch);
    void learn(const dispatch_record& dispatch, const backend::usage& usage, time_point now);
    void release_room(dispatch_record& dispatch);
    void start_grace(const record_pointer& dispatch);
    boost::asio::awaitable<void> report_lost(record_pointer dispatch);

    /// A question for the fate of a former incarnation's dispatch that came too early to be answered.
    struct early_attach {
        connection_id connection{};
        wire::attach_message request;
    };

    sidecar_context& m_context;
    identifier m_own_incarnation;
    bool m_is_backend_known = false;
    std::vector<early_attach> m_early_attaches; ///< empty once the backend is known; bounded
    callbacks m_calls;
    answer_delivery m_delivery;
    dispatch_runner m_runner;
};

} // namespace borageford::sidecar
