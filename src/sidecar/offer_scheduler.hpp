// Decides about offered requests: whether to queue or refuse an offer, which offer to grant next, and whether
// a start message may run its request.
#pragma once

#include "policy/offer_queue.hpp"
#include "sidecar/dispatch_manager.hpp"
#include "sidecar/resend_finder.hpp"
#include "sidecar/sidecar_context.hpp"
#include "wire/message.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace borageford::sidecar {

/// Schedules the offers of all entries. Used on sidecar_context::strand only. Invariants: every offer in
/// `m_offers` is either in the queue or granted; capacity is reserved for each granted offer until it starts,
/// is withdrawn or its grant expires; an offer that is removed from `m_offers` without a start gets a
/// tombstone in the ledger before its entry is informed, so that a late start message can't run it.
class offer_scheduler {
public:
    offer_scheduler(sidecar_context& context, dispatch_manager& dispatches);

    /// Queues or refuses an offer and replies to it.
    void handle_offer(connection_id connection, const wire::offer_message& offer);
    /// Starts a granted offer, or replies that it has not begun.
    void start(connection_id connection, wire::start_message request);
    /// Removes an offer that has not started. Also ends a lookup_only offer.
    void withdraw(const wire::withdraw_message& request);

    /// Withdraws the offer without a message to its entry. Called when an entry attaches to the dispatch:
    /// that entry counts the dispatch as started, and dispatch_manager::attach reports what became of it.
    void withdraw_attached(dispatch_id dispatch);

    /// Withdraws all offers of a closed connection, because their grants could not be answered any more.
    void drop_connection(connection_id connection);

    /// Grants queued offers as long as the backend server has capacity.
    void grant_waiting();

    /// Ends grants that have expired, and refuses queued offers that can't meet their deadline any more.
    void tick();

    /// Ends all offers that have not started, and refuses new ones from now on.
    void drain();

    /// While `is_paused` is true, offers are queued but none is granted or started. Used after the process
    /// was frozen, until it is known whether the configuration revision is still in force.
    void set_paused(bool is_paused);

    /// Refuses the offers that can't be served any more. To be called when the backend server or the
    /// configuration has changed.
    void recheck_offers();

    /// How long a refused caller of this tier should wait before it retries, derived from the measured rate
    /// at which the queue drains or, while the backend server is down, from how long it has been down.
    [[nodiscard]] std::chrono::milliseconds retry_after(unsigned tier) const;

    [[nodiscard]] std::unique_ptr<wire::load_report_message> make_load_report() const;
    /// The number of offers that are queued or granted.
    [[nodiscard]] std::size_t waiting() const noexcept { return m_offers.size(); }

private:
    struct pending_offer {
        offered_request request;
        connection_id connection = 0;
        policy::queued_offer queued;
        std::optional<policy::admission> admission; ///< set when granted
        std::uint64_t granted_revision = 0;         ///< configuration revision at the time of the grant
    };
    using offer_map = std::unordered_map<dispatch_id, pending_offer>;

    /// Why the request can't be served here now; std::nullopt when it can.
    [[nodiscard]] std::optional<error_kind> find_obstacle(const offered_request& request) const;
    [[nodiscard]] offered_request read_offer(const wire::offer_message& offer) const;
    [[nodiscard]] policy::queued_offer to_queued(const offered_request& request) const;
    [[nodiscard]] duration expected_service(const offered_request& request) const;
    [[nodiscard]] bool misses_deadline(const policy::queued_offer& queued) const;
    [[nodiscard]] bool has_capacity_for(const offered_request& request) const;
    [[nodiscard]] bool must_wait_for_marked(const offered_request& request) const;

    void refuse(connection_id connection, const offered_request& request, error_kind kind);
    void reply(connection_id connection, const offered_request& request, wire::offer_reply_message answer);
    void grant_next(time_point now);
    void send_not_begun(connection_id connection, const wire::id& dispatch, error_kind kind,
                        std::chrono::milliseconds retry_after);
    /// Ends an offer that hasn't started: writes its tombstone to the ledger first, then sends the message to
    /// its entry.
    void end_offer(dispatch_id dispatch, error_kind kind);
    /// Releases the capacity of a granted offer. Does nothing if the offer isn't granted.
    void release_capacity(pending_offer& offer);

    sidecar_context& m_context;
    dispatch_manager& m_dispatches;
    resend_finder m_resends;
    policy::offer_queue m_queue;
    offer_map m_offers;
    bool m_is_draining = false;
    bool m_is_paused = false;
};

} // namespace borageford::sidecar
