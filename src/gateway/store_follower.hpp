// Follows one table of the store: everything once, then its changes as they happen.
#pragma once

#include "base/timer_service.hpp"
#include "store/table.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace borageford::gateway {

class store_follower {
public:
    struct handlers {
        /// All rows as of one moment: at the start, and after history was lost or the store was away.
        std::function<void(const store::row_page&)> on_all;
        std::function<void(const store::row_change&)> on_change;
        /// The store couldn't be reached or refused; called for every failed call.
        std::function<void()> on_outage;
    };

    store_follower(boost::asio::any_io_executor executor, timer_service& timers, store::table& table,
                   std::string table_name, handlers to_call);

    void start();

    /// Whether the store answered the last call.
    [[nodiscard]] bool is_in_touch() const noexcept { return m_has_read && !m_lost_since.has_value(); }

private:
    boost::asio::awaitable<void> run();
    void note_lost(std::string_view reason);
    void note_regained(std::uint64_t version);
    boost::asio::awaitable<void> follow(std::uint64_t version);

    boost::asio::any_io_executor m_executor;
    timer_service& m_timers;
    store::table& m_table;
    std::string m_table_name;
    bool m_has_read = false;
    std::optional<std::chrono::steady_clock::time_point> m_lost_since;
    handlers m_handlers;
};

} // namespace borageford::gateway
