// Follows every started dispatch: runs it, sends its answer to those who read it, keeps the answer, and ends
// it when nobody waits for it.
#pragma once

#include "sidecar/answer_delivery.hpp"
#include "sidecar/dispatch_runner.hpp"
#include "sidecar/sidecar_context.hpp"
#include "wire/message.hpp"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>

namespace borageford::sidecar {

/// Used on the strand. Invariant: each started dispatch ends once, and gives its room back once.
class dispatch_manager {
public:
    using record_pointer = dispatch_store::record_pointer;

    /// `room_freed` is called after a dispatch has given its room back.
    dispatch_manager(sidecar_context& context, backend::backend_server& server,
                     const identifier& own_incarnation, std::function<void()> room_freed);

    /// Runs a dispatch that the ledger has just begun, for its first reader.
    void begin(const record_pointer& dispatch, connection_id reader);

    void attach(connection_id connection, const wire::attach_message& request);
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
    void release_room(dispatch_record& dispatch);
    void start_grace(const record_pointer& dispatch);
    boost::asio::awaitable<void> report_lost(record_pointer dispatch);

    sidecar_context& m_context;
    identifier m_own_incarnation;
    std::function<void()> m_room_freed;
    answer_delivery m_delivery;
    dispatch_runner m_runner;
};

} // namespace borageford::sidecar
