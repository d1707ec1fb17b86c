// A bounded buffer of the audit records of one process that aren't in the object store yet. When it is full,
// the oldest batches are replaced by gap records, which say how many records were lost. It doesn't access the
// store or a clock; its caller passes times and reports the results of writes.
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

/// An encoded batch that is to be written to the object store.
struct pending_object {
    std::uint64_t sequence = 0;
    std::string key;
    std::string text;
};

struct backlog_limits {
    std::size_t batch = 0;  ///< number of records at which a batch is closed
    std::size_t memory = 0; ///< maximum number of records in the buffer
};

/// Collects records into batches. Safe to use from any thread. Invariants: the number of records is at most
/// `backlog_limits::memory`, not counting a batch that is being written; batch sequence numbers have no gaps,
/// except where gap batches were joined; a batch that was replaced by a gap record keeps its key, so that a
/// reader of this key finds out how many records were lost instead of finding no batch.
class backlog {
public:
    /// Maximum number of closed batches before batches that consist of a gap are joined, oldest first.
    /// Without this limit, gaps would fill the memory during an outage of several days.
    static constexpr std::size_t gap_limit = 1000;

    backlog(batch_origin origin, const identifier& incarnation, backlog_limits limits);

    /// Appends a record to the open batch. Closes the batch when it is full, and replaces the oldest batches
    /// by gaps if the memory limit is exceeded.
    void add(record audit_record);

    /// Closes the open batch if it contains records. With `is_last` an empty batch is closed, too, and the
    /// batch is marked as the last one of this process.
    void close(std::chrono::system_clock::time_point now, bool is_last);

    /// Returns the oldest closed batch for writing; nothing if there is none. Until end_write() is called,
    /// the batch is neither removed nor replaced by a gap.
    [[nodiscard]] std::optional<pending_object> begin_write();
    /// Reports the result of the write of this batch. If it was written, it is removed; otherwise it stays
    /// and will be returned by begin_write() again.
    void end_write(std::uint64_t sequence, bool is_written);

    /// Number of records in open and closed batches.
    [[nodiscard]] std::size_t held_records() const;
    /// Number of closed batches, including gaps.
    [[nodiscard]] std::size_t closed_batches() const;
    /// Number of records replaced by gaps since the start of the process.
    [[nodiscard]] std::uint64_t lost_records() const;

private:
    struct closed_batch {
        batch_key key;
        std::string text;
        std::size_t records = 0; ///< 0 after the batch was replaced by a gap
        std::uint64_t lost = 0;  ///< records of this batch, and of batches joined with it, that were lost
        std::chrono::system_clock::time_point first;
        std::chrono::system_clock::time_point last;
    };

    void close_open_batch(std::chrono::system_clock::time_point now, bool is_last);
    void enforce_memory_limit();
    void replace_with_gap(closed_batch& batch);
    void join_gaps();
    [[nodiscard]] bool is_being_written(const closed_batch& batch) const;

    const batch_origin m_origin;
    const identifier m_incarnation;
    const backlog_limits m_limits;
    mutable std::mutex m_mutex;
    std::vector<record> m_open;
    std::deque<closed_batch> m_closed;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_writing = 0; ///< sequence number of the batch that is being written; 0: none
    std::size_t m_closed_records = 0;
    std::uint64_t m_lost = 0;
};

} // namespace borageford::audit
