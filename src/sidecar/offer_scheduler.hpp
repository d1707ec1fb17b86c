// Decides about offers: queue or refuse, whom to grant room next, and whether a start may run.
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

/// Used on the strand. Invariants: every offer in `m_offers` is in the queue or granted, never both; room is
/// reserved for each granted one until it starts, is withdrawn or lapses; what leaves `m_offers` unstarted
/// has a tombstone in the ledger before its entry is told.
class offer_scheduler {
public:
    offer_scheduler(sidecar_context& context, dispatch_manager& dispatches);

    void take(connection_id connection, const wire::offer_message& offer);
    void start(connection_id connection, wire::start_message request);
    void withdraw(const wire::withdraw_message& request);

    /// An entry asks after this dispatch as a started one: as an offer it is over. Its fate is told by
    /// whoever answers that question.
    void give_up(dispatch_id dispatch);

    /// Offers of a connection that is gone count as withdrawn; no grant can be answered any more.
    void drop_connection(connection_id connection);

    /// Gives grants as long as there is room.
    void grant_room();

    /// Lapses grants, and refuses what can't meet its deadline any more.
    void tick();

    /// Ends everything that hasn't started, and takes no more.
    void drain();

    /// While held, offers are queued but nothing is granted or started: the process was frozen and must first
    /// learn whether its revision is still in force.
    void hold(bool is_held);

    /// The backend server or the configuration has changed: what can't be served any more is refused.
    void review();

    /// When a refused caller should come back: from the measured drain rate, or from how long the backend
    /// server has been away.
    [[nodiscard]] std::chrono::milliseconds retry_after(unsigned tier) const;

    [[nodiscard]] std::unique_ptr<wire::load_report_message> make_load_report() const;
    [[nodiscard]] std::size_t waiting() const noexcept { return m_offers.size(); }

private:
    struct pending_offer {
        offered_request request;
        connection_id connection = 0;
        policy::queued_offer queued;
        std::optional<policy::admission> admission; ///< once granted
        std::uint64_t granted_revision = 0;
    };
    using offer_map = std::unordered_map<dispatch_id, pending_offer>;

    /// Why this can't be served here now; nothing when it can.
    [[nodiscard]] std::optional<error_kind> find_obstacle(const offered_request& request) const;
    [[nodiscard]] offered_request read_offer(const wire::offer_message& offer) const;
    [[nodiscard]] policy::queued_offer to_queued(const offered_request& request) const;
    [[nodiscard]] duration expected_service(const offered_request& request) const;
    [[nodiscard]] bool misses_deadline(const policy::queued_offer& queued) const;
    [[nodiscard]] bool has_room_for(const offered_request& request) const;
    [[nodiscard]] bool must_wait_alone(const offered_request& request) const;

    void refuse(connection_id connection, const offered_request& request, error_kind kind);
    void reply(connection_id connection, const offered_request& request, wire::offer_reply_message answer);
    void grant_next(time_point now);
    void not_begun(connection_id connection, const wire::id& dispatch, error_kind kind,
                   std::chrono::milliseconds retry_after);
    /// Ends an offer that hasn't started: tombstone first, then the message.
    void end_offer(dispatch_id dispatch, error_kind kind);
    /// Gives back the room of a granted offer.
    void release(pending_offer& offer);

    sidecar_context& m_context;
    dispatch_manager& m_dispatches;
    resend_finder m_resends;
    policy::offer_queue m_queue;
    offer_map m_offers;
    bool m_is_draining = false;
    bool m_is_held = false;
};

} // namespace borageford::sidecar
