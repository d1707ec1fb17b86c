// The dispatches that were started here, running or with an answer that is still kept, and where resends of
// their requests find them.
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

/// Where a request was started, when not here.
struct started_elsewhere {
    dispatch_id dispatch;
    std::string backend_server;
    std::uint64_t fingerprint = 0; ///< of the request that was started
};

struct store_limits {
    std::size_t kept_answers = 10'000;
    std::uint64_t memory = 64U * 1024 * 1024; ///< bytes of all answers
    duration retention = std::chrono::seconds(60);
    std::size_t known_elsewhere = 20'000;
    duration known_elsewhere_time = std::chrono::seconds(60);
};

/// Invariants: a running dispatch is never forgotten; kept answers are within the limits, the oldest going
/// first; every resend key leads to a dispatch that is in the store and whose answer is whole or growing.
class dispatch_store {
public:
    using record_pointer = std::shared_ptr<dispatch_record>;

    explicit dispatch_store(store_limits limits) : m_limits(limits) {}

    void add(const record_pointer& dispatch);
    /// Its answer has ended and is kept from now on, within the limits. A failed one is kept for those who
    /// ask after it, yet no resend is led to it.
    void keep(const record_pointer& dispatch, time_point now);
    /// The entry has the whole answer. One that is idempotent is forgotten at once.
    void acknowledge(dispatch_id dispatch);
    /// As if it had never been started here.
    void remove(dispatch_id dispatch);

    /// Null when there is none.
    [[nodiscard]] record_pointer find(dispatch_id dispatch) const;
    /// The dispatch that a resend with this key can be attached to; null when there is none. A key that was
    /// used again for another request finds nothing: its caller must not get the first one's answer.
    [[nodiscard]] record_pointer find_resend(std::uint64_t resend_key, std::uint64_t fingerprint) const;

    void remember_elsewhere(std::uint64_t resend_key, started_elsewhere where, time_point now);
    [[nodiscard]] std::optional<started_elsewhere>
    find_elsewhere(std::uint64_t resend_key, std::uint64_t fingerprint, time_point now) const;

    /// Forgets what is over its time.
    void forget_old(time_point now);
    /// The bytes of a growing answer count from here on.
    void count_bytes(std::uint64_t bytes);

    [[nodiscard]] std::vector<record_pointer> running() const;
    [[nodiscard]] std::size_t running_count() const noexcept { return m_running; }
    [[nodiscard]] std::size_t kept_count() const noexcept { return m_records.size() - m_running; }
    [[nodiscard]] std::uint64_t memory() const noexcept { return m_memory; }
    /// Whether a whole answer that ended less than `grace` ago hasn't been acknowledged.
    [[nodiscard]] bool has_undelivered(duration grace, time_point now) const;
    /// Whether kept answers have given way to running ones and there's still too much.
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

    store_limits m_limits;
    std::unordered_map<dispatch_id, record_pointer> m_records;
    std::unordered_map<std::uint64_t, dispatch_id> m_resends;
    std::deque<kept> m_kept; ///< in the order of their ends; may name some that are gone
    std::unordered_map<std::uint64_t, elsewhere_entry> m_elsewhere;
    std::deque<elsewhere_age> m_elsewhere_ages;
    std::size_t m_running = 0;
    std::uint64_t m_memory = 0;
};

} // namespace borageford::sidecar
