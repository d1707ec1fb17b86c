// Collects the audit records of a process and writes them in batches to the platform's object store.
#pragma once

#include "audit/record.hpp"
#include "base/timer_service.hpp"
#include "store/object_store.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace borageford::audit {

/// Settings of a recorder. docs/design/audit.md explains the defaults: 1,650 processes with one batch per 30
/// s cause 55 writes per second, and the records that an entry makes in one hour fit into the memory limit.
struct recorder_settings {
    std::string vm;   ///< name of the VM that this process runs on
    std::string role; ///< "entry" or "sidecar"
    std::chrono::milliseconds flush_period{30000};
    std::size_t batch_limit = 2000;    ///< maximum number of records in a batch
    std::size_t memory_limit = 120000; ///< maximum number of unwritten records; see backlog
    std::string backend_server{};      ///< backend server of a sidecar, the writer's name in its batch keys
};

/// Writes audit records in the background. record() is safe to call from any thread and never waits for the
/// store. The store must exist until the executor has finished all its work.
class recorder {
public:
    recorder(boost::asio::any_io_executor executor, timer_service& timers, store::object_store& store,
             recorder_settings settings);
    ~recorder();
    recorder(const recorder&) = delete;
    recorder& operator=(const recorder&) = delete;
    recorder(recorder&&) = delete;
    recorder& operator=(recorder&&) = delete;

    /// Starts writing batches in each flush period.
    void start();
    void record(audit::record audit_record);

    /// Writes all records, the last batch marked as the last one of this process, then calls `done` on the
    /// executor, after `limit` at the latest. Used for a graceful shutdown.
    void flush(std::chrono::milliseconds limit, std::function<void()> done);

    /// Number of records lost since the start because memory was full.
    [[nodiscard]] std::uint64_t lost_records() const noexcept;
    /// Number of records that aren't written yet.
    [[nodiscard]] std::size_t held_records() const noexcept;

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace borageford::audit
