// Removes the rows of old claims from the platform's table, so that the table doesn't grow without bound.
#pragma once

#include "base/timer_service.hpp"
#include "store/table.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <chrono>
#include <cstdint>
#include <memory>

namespace borageford::entry {

struct claim_sweeper_settings {
    std::chrono::milliseconds retention{std::chrono::hours(24)}; ///< claims are kept for at least this time
    std::chrono::milliseconds period{std::chrono::minutes(1)};   ///< time between two sweeps
    std::size_t page_size = 200;                                 ///< rows read in one sweep
};

/// Periodically reads one page of claims from a random position and removes the old ones. Claims are removed
/// whichever entry wrote them, so those of entries that died are removed as well. No clock that shows the
/// time of day is read: if an entry whose clock is ahead removed claims, calls that are sent again would run
/// again. Thread-safe.
class claim_sweeper {
public:
    claim_sweeper(boost::asio::any_io_executor executor, timer_service& timers, store::table& table,
                  claim_sweeper_settings settings);
    ~claim_sweeper();
    claim_sweeper(const claim_sweeper&) = delete;
    claim_sweeper& operator=(const claim_sweeper&) = delete;
    claim_sweeper(claim_sweeper&&) = delete;
    claim_sweeper& operator=(claim_sweeper&&) = delete;

    /// Starts the periodic sweeps; they end when the object is destroyed.
    void start();

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace borageford::entry
