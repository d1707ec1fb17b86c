// Ledger of the state of each dispatch id at one sidecar. Only the ledger decides whether a dispatch may
// start, so that no dispatch runs twice and an answer "not run" stays true. It has no clock and no sockets of
// its own.
#pragma once

#include "base/identifier.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

namespace borageford::ledger {

using time_point = std::chrono::steady_clock::time_point;
using duration = std::chrono::steady_clock::duration;

/// State of a dispatch id.
enum class dispatch_state : std::uint8_t {
    offered,
    granted,
    started,
    finished,
    withdrawn, ///< A tombstone: this id will never run.
};

/// Result of receiving an offer.
enum class offer_result : std::uint8_t {
    taken,
    already_known, ///< A copy of an offer that is waiting, granted or started.
    tombstoned,    ///< The dispatch was withdrawn or has finished before the offer arrived.
};

/// Result of receiving a start.
enum class start_result : std::uint8_t {
    begun,           ///< The caller of the function must run the dispatch now.
    already_started, ///< A copy of a start that was received before; nothing to do.
    not_begun,       ///< There is no valid grant, and the id is a tombstone now.
};

/// Result of withdrawing a dispatch.
enum class withdraw_result : std::uint8_t {
    withdrawn,
    already_started, ///< Too late: the dispatch is running or has run.
};

/// Result of asking for the state of a dispatch.
enum class attach_result : std::uint8_t {
    not_begun, ///< The dispatch hasn't run and is a tombstone now.
    running,
    finished,
    unknown, ///< The start is so old that its entry may have been removed from the ledger.
};

/// How long and how many ended dispatches are remembered.
struct ledger_limits {
    /// Time for which a tombstone or a finished id is kept at least, unless there are more than `entries`.
    duration retention = std::chrono::minutes(10);
    std::size_t entries = 100'000; ///< maximum number of tombstones and finished ids together
};

/// States of all known dispatches.
///
/// Invariants: only a granted dispatch becomes started, and only once; a tombstone never changes its state; a
/// started id isn't removed before it has finished; of the finished ids and tombstones the oldest is removed
/// first; `m_removed_until` is never earlier than the end of a finished id that has been removed.
class dispatch_ledger {
public:
    explicit dispatch_ledger(ledger_limits limits);

    /// Records an offer that was received.
    offer_result record_offer(dispatch_id dispatch);

    /// Grants an offer until `expiry`. False when the offer isn't waiting any more.
    bool grant(dispatch_id dispatch, time_point expiry);

    /// Records a start that was received. A grant that has expired doesn't allow a start, even if
    /// expire_grants() hasn't removed it yet.
    start_result start(dispatch_id dispatch, time_point now);

    /// Withdraws a dispatch that hasn't started, for the entry process or for this sidecar. An unknown id
    /// becomes a tombstone, so that an offer or a start that is still in transit can't run.
    withdraw_result withdraw(dispatch_id dispatch, time_point now);

    /// Makes a started dispatch a tombstone, because it turned out that it never reached the backend server.
    void revoke_start(dispatch_id dispatch, time_point now);

    /// Records that a started dispatch has ended.
    void finish(dispatch_id dispatch, time_point now);

    /// State of a dispatch that was started, if at all, at `earliest_start` or later in this run of the
    /// sidecar. A dispatch that hasn't started becomes a tombstone. Without that time, a finished id that was
    /// removed from the ledger would look like one that never arrived, and the request would be run again
    /// elsewhere.
    attach_result attach(dispatch_id dispatch, time_point earliest_start, time_point now);

    /// Records a dispatch as started that was found running at the backend server, where a previous run of
    /// the sidecar had sent it.
    void adopt(dispatch_id dispatch);

    /// Removes an adopted dispatch that the backend server doesn't know. The next request for its state must
    /// ask the backend server again, since `finished` would claim that it has run.
    void forget_adopted(dispatch_id dispatch);

    /// Turns expired grants into tombstones and returns their ids.
    [[nodiscard]] std::vector<dispatch_id> expire_grants(time_point now);

    /// Removes ids that ended longer ago than `ledger_limits::retention`.
    void forget_old(time_point now);

    /// State of the dispatch; null when it is unknown. The pointer is valid until the ledger changes.
    [[nodiscard]] const dispatch_state* find(dispatch_id dispatch) const noexcept;
    /// Number of known dispatches.
    [[nodiscard]] std::size_t size() const noexcept { return m_entries.size(); }

private:
    struct entry {
        dispatch_state state = dispatch_state::offered;
        time_point expiry; ///< when a grant expires
    };
    /// An id with the time of its end, or with the expiry of its grant.
    struct ended {
        dispatch_id dispatch;
        time_point time;
    };

    void end(dispatch_id dispatch, dispatch_state state, time_point now);
    void remove_oldest();

    ledger_limits m_limits;
    std::unordered_map<dispatch_id, entry> m_entries;
    std::deque<ended> m_ended; ///< Tombstones and finished ids, oldest first.
    /// Grants in the order in which they were given, which is taken as the order of expiry.
    std::deque<ended> m_grants;
    time_point m_removed_until; ///< No finished id that ended later than this has been removed.
    bool m_has_removed_finished = false;
};

} // namespace borageford::ledger
