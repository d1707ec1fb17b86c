// The started dispatches of this sidecar: those that run and those that have ended and whose answers are
// still kept. Also finds the earlier dispatch of a request that a caller sends again (a resend).
#pragma once

#include "sidecar/dispatch_record.hpp"

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace borageford::sidecar {

/// Where a request was started that was offered here but started at another backend server.
struct started_elsewhere {
    dispatch_id dispatch;
    std::string backend_server;
    std::uint64_t fingerprint = 0; ///< fingerprint of the started request
};

/// The bounds of a dispatch_store.
struct dispatch_store_limits {
    std::size_t kept_answers = 10'000;                        ///< answers of dispatches that have ended
    std::uint64_t memory = 64U * 1024 * 1024;                 ///< bytes of all answers
    duration retention = std::chrono::seconds(60);            ///< how long an answer is kept after its end
    std::size_t known_elsewhere = 20'000;                     ///< requests known to be started elsewhere
    duration known_elsewhere_time = std::chrono::seconds(60); ///< how long such a request is remembered
};

/// Stores dispatches by their id and by the resend key of their request. Invariants: a running dispatch is
/// never removed because of the limits; the answers of ended dispatches are kept within the limits, and the
/// oldest is removed first; every resend key refers to a dispatch that is in the store and whose answer is
/// complete or still growing.
class dispatch_store {
public:
    using record_pointer = std::shared_ptr<dispatch_record>;

    explicit dispatch_store(dispatch_store_limits limits) : m_limits(limits) {}

    /// Adds a running dispatch.
    void add(const record_pointer& dispatch);
    /// To be called when the answer of a dispatch has ended: the answer is kept within the limits from now
    /// on. A failed answer is kept for entries that attach to the dispatch by its id, but find_resend()
    /// doesn't return it.
    void keep(const record_pointer& dispatch, time_point now);
    /// The entry has received the complete answer. The dispatch is removed at once if its request is
    /// idempotent.
    void acknowledge(dispatch_id dispatch);
    /// Removes the dispatch, whether it is running or not.
    void remove(dispatch_id dispatch);

    /// The dispatch with this id; null when there is none.
    [[nodiscard]] record_pointer find(dispatch_id dispatch) const;
    /// The dispatch whose answer a resend with this key can read; null when there is none. A different
    /// `fingerprint` means that the caller has used the key for another request. Then null is returned,
    /// because the caller must not get the answer of the first request.
    [[nodiscard]] record_pointer find_resend(std::uint64_t resend_key, std::uint64_t fingerprint) const;

    /// Records that the request with this key was started at another backend server.
    void remember_elsewhere(std::uint64_t resend_key, started_elsewhere where, time_point now);
    /// Where the request with this key and fingerprint was started; std::nullopt when that isn't known.
    [[nodiscard]] std::optional<started_elsewhere>
    find_elsewhere(std::uint64_t resend_key, std::uint64_t fingerprint, time_point now) const;

    /// Removes the kept answers and remembered other locations that have passed their retention time.
    void forget_old(time_point now);
    /// Adds the new bytes of a growing answer to the memory in use, and removes kept answers when that
    /// exceeds the limit. Returns false, and adds nothing, if the memory is used up by running dispatches and
    /// this answer, of `length` bytes so far, would have more than an equal share of it.
    ///
    /// Without this, a server that sends bodies without an end to many callers at once made the process run
    /// out of memory, although each of the answers was cut at the limit for one.
    [[nodiscard]] bool add_bytes(std::uint64_t length, std::uint64_t bytes);

    [[nodiscard]] std::vector<record_pointer> running() const;
    [[nodiscard]] std::size_t running_count() const noexcept { return m_running; }
    [[nodiscard]] std::size_t kept_count() const noexcept { return m_records.size() - m_running; }
    /// Bytes of all answers in the store.
    [[nodiscard]] std::uint64_t memory() const noexcept { return m_memory; }
    /// Whether there is a complete answer that ended less than `grace` ago and hasn't been acknowledged.
    [[nodiscard]] bool has_undelivered(duration grace, time_point now) const;
    /// Whether the answers of running dispatches alone use all of the memory. Kept answers have been removed
    /// by then.
    [[nodiscard]] bool is_full() const noexcept { return m_memory >= m_limits.memory; }

private:
    struct kept {
        dispatch_id dispatch;
        time_point since;
    };
    struct elsewhere_entry {
        started_elsewhere where;
        time_point since;
    };
    struct elsewhere_age {
        std::uint64_t resend_key = 0;
        time_point since;
    };

    void forget_resend_key(const dispatch_record& dispatch);
    void forget_oldest_kept();
    void forget_oldest_elsewhere();

    dispatch_store_limits m_limits;
    std::unordered_map<dispatch_id, record_pointer> m_records;
    std::unordered_map<std::uint64_t, dispatch_id> m_resends;
    std::deque<kept> m_kept; ///< in the order in which they ended; may contain removed dispatches
    std::unordered_map<std::uint64_t, elsewhere_entry> m_elsewhere;
    std::deque<elsewhere_age> m_elsewhere_ages; ///< oldest first; may contain replaced entries
    std::size_t m_running = 0;
    std::uint64_t m_memory = 0; ///< bytes of all answers
};

} // namespace borageford::sidecar
