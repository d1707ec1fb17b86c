// What one sidecar knows of each dispatch id. It alone decides whether a start may run, so that no dispatch
// begins twice and a refusal that says "not run" stays true. No clock or sockets of its own.
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

enum class dispatch_state : std::uint8_t {
    offered,
    granted,
    started,
    finished,
    withdrawn, ///< a tombstone: this id will never run
};

enum class offer_result : std::uint8_t {
    taken,
    already_known, ///< a copy of an offer that stands
    tombstoned,    ///< withdrawn or over before the offer came
};

enum class start_result : std::uint8_t {
    begun,           ///< the caller must run it now
    already_started, ///< a copy of a start: nothing to do
    not_begun,       ///< no grant stands; a tombstone does
};

enum class withdraw_result : std::uint8_t {
    withdrawn,
    already_started, ///< too late: it runs or has run
};

enum class attach_result : std::uint8_t {
    not_begun, ///< now tombstoned
    running,
    finished,
    unknown, ///< so old that it may have been forgotten
};

struct ledger_limits {
    /// How long a tombstone or a finished id is remembered at least, unless the count is reached.
    duration retention = std::chrono::minutes(10);
    std::size_t entries = 100'000; ///< of tombstones and finished ids together
};

/// Invariants: only a granted dispatch becomes started, and only once; a tombstone never becomes anything
/// else; a started id is never forgotten before it is finished; of what is over, the oldest goes first, and
/// `m_forgotten_until` is never before the end of a finished id that has been forgotten.
class dispatch_ledger {
public:
    explicit dispatch_ledger(ledger_limits limits);

    offer_result take_offer(dispatch_id dispatch);

    /// Reserves the room until `lapse`. False when the offer doesn't stand any more.
    bool grant(dispatch_id dispatch, time_point lapse);

    /// A start came. A grant whose time is over counts as lapsed even if no one has noticed yet.
    start_result start(dispatch_id dispatch, time_point now);

    /// The entry, or this sidecar, gives up a dispatch that hasn't started. An unknown id gets a tombstone,
    /// so that an offer or a start that is still under way can't run.
    withdraw_result withdraw(dispatch_id dispatch, time_point now);

    /// A started dispatch turned out never to have reached the backend server: it gets a tombstone.
    void take_back(dispatch_id dispatch, time_point now);

    void finish(dispatch_id dispatch, time_point now);

    /// The fate of a dispatch whose start was sent `age` ago to this very incarnation. Without the age, an id
    /// that was finished and forgotten would be taken for one that never came, and be run again elsewhere.
    attach_result attach(dispatch_id dispatch, duration age, time_point now);

    /// A dispatch of a former incarnation, found running at the backend server.
    void adopt(dispatch_id dispatch);

    /// An adopted dispatch that the backend server doesn't know: whoever asks again is to ask it again, since
    /// "finished" would claim that it has run.
    void forget_adopted(dispatch_id dispatch);

    /// Turns the grants whose time is over into tombstones and names them.
    [[nodiscard]] std::vector<dispatch_id> lapse_grants(time_point now);

    /// Forgets what is over for longer than the retention.
    void forget_old(time_point now);

    [[nodiscard]] const dispatch_state* find(dispatch_id dispatch) const noexcept;
    [[nodiscard]] std::size_t size() const noexcept { return m_entries.size(); }

private:
    struct entry {
        dispatch_state state = dispatch_state::offered;
        time_point lapse; ///< for grants
    };
    struct ended {
        dispatch_id dispatch;
        time_point time;
    };

    void end(dispatch_id dispatch, dispatch_state state, time_point now);
    void forget_oldest();

    ledger_limits m_limits;
    std::unordered_map<dispatch_id, entry> m_entries;
    std::deque<ended> m_ended;    ///< tombstones and finished ids, oldest first
    std::deque<ended> m_grants;   ///< in the order of their lapse
    time_point m_forgotten_until; ///< no finished id of an end after this has been forgotten
    bool m_has_forgotten = false;
};

} // namespace borageford::ledger
