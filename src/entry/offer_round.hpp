// Offers one request to backend servers in waves until one of them grants it, or all have refused.
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

/// A sidecar has room and waits for our start.
struct granted_place {
    std::shared_ptr<sidecar_link> link;
    std::string backend_server;
    dispatch_id dispatch;
    identifier incarnation;
    std::uint64_t revision = 0; ///< the sidecar's
};

/// A sidecar runs this very request already, or holds its answer.
struct attachable_place {
    std::shared_ptr<sidecar_link> link;
    std::string backend_server;
    dispatch_id dispatch;
    /// Of the sidecar that got the start; none when only hearsay names the dispatch. A sidecar that was
    /// restarted since must not judge by its empty ledger that the dispatch never began.
    identifier incarnation;
};

using place = std::variant<granted_place, attachable_place>;

/// Invariants: nothing has run for any offer of a round; an offer leaves `m_open_offers` when it is
/// refused, lost, withdrawn or taken.
class offer_round {
public:
    offer_round(entry_context& context, const call& request, std::shared_ptr<event_mailbox> events);

    /// Throws request_error (the request has not run) and caller_left.
    boost::asio::awaitable<place> find_place();

    /// Takes back every offer that is still open, naming where the request went instead: a home that knows
    /// can send a resend there.
    void withdraw_all(const std::string& started_at = {}, const dispatch_id& running = {});

private:
    struct open_offer {
        std::shared_ptr<sidecar_link> link;
        std::string backend_server;
        bool is_repeated = false; ///< the connection of the first offer to this server was lost
    };

    /// The question to the one backend server that the resend key hashes to: is this request known there?
    struct resend_lookup {
        std::shared_ptr<sidecar_link> link;
        dispatch_id dispatch;
        bool is_pending = true;
    };

    void plan();
    void plan_for_marked();
    void send_lookup();
    [[nodiscard]] wire::offer_message make_offer(const dispatch_id& dispatch) const;
    [[nodiscard]] bool is_lookup(const dispatch_id& dispatch) const noexcept;
    [[nodiscard]] bool must_wait_for_lookup() const noexcept;
    [[nodiscard]] std::chrono::steady_clock::time_point next_wake_time() const;
    [[nodiscard]] std::optional<place> take_held_grant();
    [[nodiscard]] std::optional<place> find_running(const wire::offer_reply_message& reply,
                                                    const std::shared_ptr<sidecar_link>& link,
                                                    const std::string& backend_server) const;
    void send_due_offers();
    void send_next_group();
    [[nodiscard]] std::optional<std::chrono::steady_clock::time_point> next_offer_time() const;
    void send_offer(open_offer place);
    void take_lost_connection(const dispatch_id& dispatch);
    [[nodiscard]] std::optional<place> handle(const dispatch_event& event);
    [[nodiscard]] std::optional<place> take_reply(const wire::offer_reply_message& reply);
    [[nodiscard]] std::optional<place> take_grant(const wire::grant_message& grant);
    void take_refusal(const dispatch_id& dispatch, error_kind kind, std::chrono::milliseconds retry_after);
    [[nodiscard]] bool is_exhausted() const noexcept;
    [[noreturn]] void refuse() const;
    void record(audit::event what, const dispatch_id& dispatch, const std::string& backend_server,
                std::optional<error_kind> reason = std::nullopt);

    entry_context& m_context;
    const call& m_call;
    std::shared_ptr<event_mailbox> m_events;
    std::shared_ptr<const candidate_table> m_table; ///< kept alive for the candidates in the waves

    std::vector<candidate> m_candidates;
    policy::placement_plan m_plan; ///< indexes m_candidates; in the order of time
    std::size_t m_next_offer = 0;  ///< in m_plan
    std::chrono::steady_clock::time_point m_began = std::chrono::steady_clock::now();
    std::unordered_map<dispatch_id, open_offer> m_open_offers;
    std::optional<resend_lookup> m_lookup;
    /// The first grant, while the lookup is pending: a request that runs already mustn't run again. Its offer
    /// is in m_open_offers.
    std::optional<granted_place> m_held_grant;
    std::optional<error_kind> m_refusal;                    ///< the one that says most, of those that came
    std::optional<std::chrono::milliseconds> m_retry_after; ///< the soonest that any sidecar named
};

} // namespace borageford::entry
