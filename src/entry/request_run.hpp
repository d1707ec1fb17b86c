// Serves one request: finds a place for it, starts it there exactly once, and brings the whole answer to
// its caller (docs/design/dispatch.md).
#pragma once

#include "base/request_error.hpp"
#include "entry/call.hpp"
#include "entry/caller_answer.hpp"
#include "entry/dispatch_event.hpp"
#include "entry/entry_context.hpp"
#include "entry/fate_inquiry.hpp"
#include "entry/offer_round.hpp"
#include "entry/request_claim.hpp"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace borageford::entry {

/// The caller closed its connection; there is nobody to answer.
class caller_left : public std::exception {};

/// Where a request was started.
struct started_dispatch {
    std::shared_ptr<sidecar_link> link;
    std::string backend_server;
    dispatch_id dispatch;
    identifier incarnation; ///< of the sidecar that got the start
    /// When the start was sent, at the latest; long ago where that isn't known. A ledger that has forgotten
    /// so old an id must not take it for one that never came.
    std::chrono::steady_clock::time_point started;
};

/// Runs on its caller's strand. Invariant: between the start and a `not_begun` for it, no second start of
/// this request is sent by anyone who holds its claim, and never by this entry.
class request_run {
public:
    request_run(entry_context& context, call& request, caller_answer& answer,
                std::shared_ptr<event_mailbox> events);

    /// Returns when the caller has its whole answer. Throws request_error with the kind to answer, and
    /// caller_left.
    boost::asio::awaitable<void> serve();

private:
    enum class follow_result : std::uint8_t { whole, not_begun };

    boost::asio::awaitable<void> serve_to_end();
    boost::asio::awaitable<void> place();
    boost::asio::awaitable<bool> join_earlier_copy();
    boost::asio::awaitable<request_error> judge_unknown(request_error failure);
    bool follow_configuration();
    [[nodiscard]] bool may_place_again();
    boost::asio::awaitable<bool> take_grant(granted_place place);
    boost::asio::awaitable<bool> claim_before_start(const granted_place& place);
    void join_claimed(const claim& standing);
    void start(const granted_place& place);
    void attach();
    void join(const attachable_place& place);
    boost::asio::awaitable<follow_result> follow();
    boost::asio::awaitable<std::optional<follow_result>> handle(dispatch_event event);
    boost::asio::awaitable<std::optional<follow_result>> take_end(const wire::answer_end_message& end);
    boost::asio::awaitable<void> take_chunk(const wire::chunk_message& chunk);
    std::optional<follow_result> take_fate(const wire::fate_message& fate);
    std::optional<follow_result> take_not_begun(const wire::not_begun_message& refusal);
    follow_result place_anew();
    void note_lost_connection();
    void ask_fate_again();
    [[nodiscard]] bool concerns_current(const dispatch_event& event) const;
    void record(audit::event what, const started_dispatch& place, std::string detail = {});

    entry_context& m_context;
    call& m_call; ///< renewed when a newer configuration is in force before its start
    caller_answer& m_answer;
    std::shared_ptr<event_mailbox> m_events;

    std::optional<started_dispatch> m_started;
    /// What the sidecar said with its last `not_begun`.
    std::optional<request_error> m_not_begun;
    request_claim m_claim;
    fate_inquiry m_inquiry;
    int m_attempts = 0;       ///< places tried after the first
    int m_stale_attempts = 0; ///< of which the revision was the reason
    bool m_joined = false;    ///< the dispatch belongs to another run of this request

    std::optional<std::chrono::steady_clock::time_point> m_last_piece;
};

} // namespace borageford::entry
