// The batches of one process that the object store hasn't got yet: bounded, with a gap in place of what had
// to go. Knows no store and no clock of its own.
#pragma once

#include "audit/batch.hpp"
#include "audit/batch_key.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace borageford::audit {

/// A closed batch, ready to be written.
struct pending_object {
    std::uint64_t sequence = 0;
    std::string key;
    std::string text;
};

struct backlog_limits {
    std::size_t batch = 0;  ///< records in one object
    std::size_t memory = 0; ///< records held
};

/// Safe from any thread. Invariants: held records stay at or below the limit but for one batch being written;
/// sequences have no holes; a batch that gave way keeps its key and says how many records it had, so that a
/// reader who looks for them there learns of the loss instead of finding nothing.
class backlog {
public:
    /// More gaps than this are joined, the oldest first: an outage of days must not fill memory with gaps.
    static constexpr std::size_t gap_limit = 1000;

    backlog(batch_origin origin, const identifier& incarnation, backlog_limits limits);

    void add(record entry);

    /// Closes the open batch, if it holds anything. `is_last` closes even an empty one.
    void close(std::chrono::system_clock::time_point now, bool is_last);

    /// The oldest closed batch. It stays until it is removed, and doesn't give way in between.
    [[nodiscard]] std::optional<pending_object> begin_write();
    void end_write(std::uint64_t sequence, bool is_written);

    [[nodiscard]] std::size_t held_records() const;
    [[nodiscard]] std::size_t closed_batches() const;
    [[nodiscard]] std::uint64_t lost_records() const;

private:
    struct closed_batch {
        batch_key key;
        std::string text;
        std::size_t records = 0; ///< 0 once it gave way
        std::uint64_t lost = 0;  ///< records that stood here, or in batches joined with it
        std::chrono::system_clock::time_point first;
        std::chrono::system_clock::time_point last;
    };

    void close_open(std::chrono::system_clock::time_point now, bool is_last);
    void make_room();
    void turn_into_gap(closed_batch& victim);
    void join_gaps();
    [[nodiscard]] bool is_being_written(const closed_batch& batch) const;

    const batch_origin m_origin;
    const identifier m_incarnation;
    const backlog_limits m_limits;
    mutable std::mutex m_mutex;
    std::vector<record> m_open;
    std::deque<closed_batch> m_closed;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_writing = 0; ///< sequence being written; 0: none
    std::size_t m_closed_records = 0;
    std::uint64_t m_lost = 0;
};

} // namespace borageford::audit
