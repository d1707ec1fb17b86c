// Gathers audit records and writes them in batches to the platform's object store.
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

/// The defaults are worked out in docs/design/audit.md: 1,650 writers at one batch in 30 s are 55 writes a
/// second, and an entry's records of an hour fit the memory limit.
struct recorder_settings {
    std::string vm;
    std::string role; ///< "entry" or "sidecar"
    std::chrono::milliseconds flush_period{30000};
    std::size_t batch_limit = 2000;    ///< records in one object
    std::size_t memory_limit = 120000; ///< records held while the store is out; the oldest give way, as a gap
    std::string backend_server{};      ///< for sidecars: their batches are found under this name
};

/// record() is safe from any thread and never blocks on the store. The store must outlive the executor's
/// work.
class recorder {
public:
    recorder(boost::asio::any_io_executor executor, timer_service& timers, store::object_store& store,
             recorder_settings settings);
    ~recorder();
    recorder(const recorder&) = delete;
    recorder& operator=(const recorder&) = delete;
    recorder(recorder&&) = delete;
    recorder& operator=(recorder&&) = delete;

    void start();
    void record(audit::record entry);

    /// Writes what is held and marks it as this writer's last batch, then calls `done` on the executor, at
    /// the latest after `limit`. For the graceful end.
    void flush(std::chrono::milliseconds limit, std::function<void()> done);

    [[nodiscard]] std::uint64_t lost_records() const noexcept;
    [[nodiscard]] std::size_t held_records() const noexcept;

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace borageford::audit
