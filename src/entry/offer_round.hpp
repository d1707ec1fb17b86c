// Offers one request to the sidecars of backend servers, group by group, until one of them grants it or all
// of them have refused it.
#pragma once

#include "entry/call.hpp"
#include "entry/dispatch_event.hpp"
#include "entry/entry_context.hpp"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace borageford::entry {

/// A grant: the sidecar has reserved capacity and waits for a start message with this dispatch.
struct granted_place {
    std::shared_ptr<sidecar_link> link;
    std::string backend_server;
    dispatch_id dispatch;
    identifier incarnation;          ///< incarnation of the sidecar process
    std::uint64_t revision = 0;      ///< configuration revision of the sidecar
    std::uint64_t granted_at_ms = 0; ///< see grant_message::granted_at_ms
};

/// A sidecar runs the same request already, or still has its answer. The request was sent before by its
/// caller with the same idempotency key.
struct attachable_place {
    std::shared_ptr<sidecar_link> link;
    std::string backend_server;
    dispatch_id dispatch;
    /// Incarnation of the sidecar process that received the start; the zero identifier when another sidecar
    /// reported the dispatch. A sidecar that was restarted since then has an empty ledger, from which it must
    /// not conclude that the dispatch was never begun.
    identifier incarnation;
};

/// Where a request can be started, or where its answer can be fetched.
using place = std::variant<granted_place, attachable_place>;

/// One search for a place, which follows a plan of policy::plan_placement().
/// Invariants: no offer of a round has been started. An offer is removed from `m_open_offers` when it is
/// refused, its connection is lost, it is withdrawn, or its grant is returned by find_place().
class offer_round {
public:
    offer_round(entry_context& context, const call& request, std::shared_ptr<event_mailbox> events);

    /// Sends offers and waits for a place. Throws request_error, in which case the request has not run, and
    /// caller_disconnected_error.
    boost::asio::awaitable<place> find_place();

    /// Withdraws all open offers. The withdrawals name the backend server and the dispatch with which the
    /// request was started, if it was: a sidecar that receives a resend of the request later can say where to
    /// attach to it.
    void withdraw_all(const std::string& started_at = {}, const dispatch_id& running = {});

private:
    struct open_offer {
        std::shared_ptr<sidecar_link> link;
        std::string backend_server;
        bool is_retry = false; ///< second offer to this server, after the connection of the first was lost
    };

    /// An offer with `lookup_only`, which asks a sidecar whether it knows of an earlier copy of the request.
    /// It is sent to the backend server that call::resend_key hashes to.
    struct resend_lookup {
        std::shared_ptr<sidecar_link> link;
        dispatch_id dispatch;
        bool is_pending = true;
    };

    void plan();
    void plan_for_marked_request();
    void send_lookup();
    [[nodiscard]] wire::offer_message make_offer(const dispatch_id& dispatch) const;
    [[nodiscard]] bool is_lookup(const dispatch_id& dispatch) const noexcept;
    [[nodiscard]] bool must_wait_for_lookup() const noexcept;
    [[nodiscard]] std::chrono::steady_clock::time_point next_wake_time() const;
    [[nodiscard]] std::optional<place> take_held_grant();
    [[nodiscard]] std::optional<place> find_earlier_copy(const wire::offer_reply_message& reply,
                                                         const std::shared_ptr<sidecar_link>& link,
                                                         const std::string& backend_server) const;
    void send_due_offers();
    void send_next_group();
    [[nodiscard]] std::optional<std::chrono::steady_clock::time_point> next_offer_time() const;
    void send_offer(open_offer place);
    void handle_lost_connection(const dispatch_id& dispatch);
    [[nodiscard]] std::optional<place> handle(const dispatch_event& event);
    [[nodiscard]] std::optional<place> handle_reply(const wire::offer_reply_message& reply);
    [[nodiscard]] std::optional<place> handle_grant(const wire::grant_message& grant);
    void handle_refusal(const dispatch_id& dispatch, error_kind kind, std::chrono::milliseconds retry_after);
    [[nodiscard]] bool is_exhausted() const noexcept;
    [[noreturn]] void refuse() const;
    void record(audit::event what, const dispatch_id& dispatch, const std::string& backend_server,
                std::optional<error_kind> reason = std::nullopt);

    entry_context& m_context;
    const call& m_call;
    std::shared_ptr<event_mailbox> m_events;
    std::shared_ptr<const candidate_table> m_table; ///< the table from which m_candidates was read

    std::vector<candidate> m_candidates;
    policy::placement_plan m_plan; ///< offers to send, sorted by time; they refer to m_candidates by index
    std::size_t m_next_offer = 0;  ///< index in m_plan of the next offer to send
    std::chrono::steady_clock::time_point m_start_time = std::chrono::steady_clock::now();
    std::unordered_map<dispatch_id, open_offer> m_open_offers;
    std::optional<resend_lookup> m_lookup;
    /// The first grant that arrived while the lookup is pending. It isn't used yet, because the lookup may
    /// find that the request runs already, and then it must not run again. Its offer stays in m_open_offers.
    std::optional<granted_place> m_held_grant;
    std::optional<error_kind> m_refusal;                    ///< the most informative refusal so far
    std::optional<std::chrono::milliseconds> m_retry_after; ///< the shortest time that a sidecar sent
};

} // namespace borageford::entry
