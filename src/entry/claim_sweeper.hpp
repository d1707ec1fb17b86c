// Removes the rows of claims whose retention is over, so that the table doesn't grow for ever.
#pragma once

#include "base/timer_service.hpp"
#include "store/table.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <chrono>
#include <cstdint>
#include <memory>

namespace borageford::entry {

struct claim_sweeper_settings {
    std::chrono::milliseconds retention{std::chrono::hours(24)};
    std::chrono::milliseconds period{std::chrono::minutes(1)}; ///< between two pages
    std::size_t page = 200;                                    ///< rows read, and at most removed, at once
};

/// Walks all claims page by page, each entry from a place of its own. No entry has to remember the claims
/// that it wrote, so those of entries that died are removed as well. Safe from any thread.
class claim_sweeper {
public:
    claim_sweeper(boost::asio::any_io_executor executor, timer_service& timers, store::table& table,
                  claim_sweeper_settings settings);
    ~claim_sweeper();
    claim_sweeper(const claim_sweeper&) = delete;
    claim_sweeper& operator=(const claim_sweeper&) = delete;
    claim_sweeper(claim_sweeper&&) = delete;
    claim_sweeper& operator=(claim_sweeper&&) = delete;

    void start();

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace borageford::entry
