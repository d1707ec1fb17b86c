// Serves one request: finds a backend server for it, starts it there, and passes the complete answer to its
// caller. The rules that keep it from being started twice are described in docs/design/dispatch.md.
#pragma once

#include "base/request_error.hpp"
#include "entry/call.hpp"
#include "entry/caller_answer.hpp"
#include "entry/dispatch_event.hpp"
#include "entry/entry_context.hpp"
#include "entry/fate_request_schedule.hpp"
#include "entry/offer_round.hpp"
#include "entry/request_claim.hpp"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace borageford::entry {

/// Thrown when the caller has closed its connection, so that no answer can be written.
class caller_disconnected_error : public std::exception {};

/// A dispatch of the request that was started, by this run or by another run of the same request.
struct started_dispatch {
    std::shared_ptr<sidecar_link> link;
    std::string backend_server;
    dispatch_id dispatch;
    identifier incarnation; ///< incarnation of the sidecar process that received the start
    /// A time no later than that at which the start was sent; the clock's epoch when it isn't known. A
    /// sidecar needs it because its ledger forgets old dispatches: for a dispatch that is old enough to be
    /// forgotten, a missing entry doesn't mean that the start never arrived.
    std::chrono::steady_clock::time_point started;
    /// When the sidecar granted the dispatch, by the sidecar's clock; 0 when it isn't known. If it is known,
    /// the sidecar uses it instead of `started`.
    std::uint64_t granted_at_ms = 0;
};

/// Serves one request, on the strand of its caller's connection.
/// Invariant: after a start has been sent, this entry sends no second start of the request until a
/// `not_begun` message has answered the first one; nor does any other run that holds the request's claim.
class request_run {
public:
    request_run(entry_context& context, call& request, caller_answer& answer,
                std::shared_ptr<event_mailbox> events);

    /// Returns when the complete answer has been written to the caller. Throws request_error with the error
    /// to answer, and caller_disconnected_error.
    boost::asio::awaitable<void> serve();

private:
    /// How waiting for an answer ended: the answer is complete, or the dispatch was never begun.
    enum class wait_result : std::uint8_t { complete, not_begun };

    boost::asio::awaitable<void> serve_to_end();
    boost::asio::awaitable<void> place();
    boost::asio::awaitable<bool> join_earlier_copy();
    boost::asio::awaitable<request_error> resolve_unknown_outcome(request_error failure);
    bool update_configuration();
    [[nodiscard]] bool try_place_again();
    boost::asio::awaitable<bool> use_grant(granted_place place);
    boost::asio::awaitable<bool> claim_before_start(const granted_place& place);
    void join_claimed_run(const claim& existing);
    void start(const granted_place& place);
    void attach();
    void join(const attachable_place& place);
    boost::asio::awaitable<wait_result> wait_for_answer();
    boost::asio::awaitable<std::optional<wait_result>> handle(dispatch_event event);
    boost::asio::awaitable<std::optional<wait_result>> handle_end(const wire::answer_end_message& end);
    void abandon();
    boost::asio::awaitable<void> handle_chunk(const wire::chunk_message& chunk);
    std::optional<wait_result> handle_fate(const wire::fate_message& fate);
    std::optional<wait_result> handle_not_begun(const wire::not_begun_message& refusal);
    wait_result give_up_dispatch();
    void handle_lost_connection();
    void request_fate_again();
    [[nodiscard]] bool is_relevant(const dispatch_event& event) const;
    void record(audit::event what, const started_dispatch& place, std::string detail = {});

    entry_context& m_context;
    call& m_call; ///< updated when a newer configuration comes into force before the start
    caller_answer& m_answer;
    std::shared_ptr<event_mailbox> m_events;

    std::optional<started_dispatch> m_started; ///< the dispatch whose answer is awaited
    /// The error in the sidecar's last `not_begun` message.
    std::optional<request_error> m_not_begun;
    request_claim m_claim;
    fate_request_schedule m_fate_requests;
    int m_attempts = 0;       ///< how often the request was to be placed again, not counting stale revisions
    int m_stale_attempts = 0; ///< how often the request was to be placed again because of a stale revision
    bool m_is_joined = false; ///< m_started belongs to another run of this request

    std::optional<std::chrono::steady_clock::time_point> m_last_piece_time; ///< when the last chunk arrived
};

} // namespace borageford::entry
