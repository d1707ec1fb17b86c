// The users' metadata store on loopback, with the outages that a store can have.
#pragma once

#include "base/timer_service.hpp"
#include "emulator/row_store.hpp"
#include "http/server.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace borageford::emulator {

/// How the store meets its callers.
enum class store_state : std::uint8_t {
    well,
    busy,   ///< refuses every call; nothing is done
    many,   ///< refuses every call as over its rate
    reset,  ///< ends every connection without an answer
    silent, ///< takes calls and never answers, nor those that are open when it falls silent
    partly, ///< refuses every other call
};

/// A return from an older copy. What was lost is written again by who wrote it, if nobody has written the row
/// since.
struct store_return {
    std::chrono::milliseconds age{2000}; ///< of the copy
    /// From the return until servers, and operators, write again what was lost.
    std::chrono::milliseconds servers_after{1000};
    std::chrono::milliseconds operators_after{1000};
};

/// Belongs to one thread's executor.
class emulated_store {
public:
    emulated_store(boost::asio::any_io_executor executor, timer_service& timers);

    /// Port 0 lets the kernel choose; returns the address in use.
    boost::asio::ip::tcp::endpoint listen(const boost::asio::ip::tcp::endpoint& address);

    [[nodiscard]] row_store& rows() noexcept { return m_rows; }
    void set_state(store_state state) noexcept { m_state = state; }
    /// The store becomes what it was some time ago.
    void return_from_copy(const store_return& how);
    /// The next answers tell this era, as answers do that were given before a return; nothing: the true one.
    void tell_era(std::optional<std::uint64_t> era) noexcept { m_told_era = era; }
    /// Every answer takes this long.
    void set_delay(std::chrono::milliseconds delay) noexcept { m_delay = delay; }
    [[nodiscard]] std::uint64_t calls() const noexcept { return m_calls; }
    /// Calls whose callers wait for an answer that never comes.
    [[nodiscard]] std::uint64_t unanswered() const noexcept { return m_unanswered; }

private:
    boost::asio::awaitable<void> handle(const http::request& call, http::response_writer& writer);
    boost::asio::awaitable<void> leave_unanswered(http::response_writer& writer);
    boost::asio::awaitable<http::response> answer(const http::request& call);
    [[nodiscard]] bool refuses_next_call() noexcept;
    void write_again(const std::vector<store::row_change>& lost, std::uint64_t copied_version);
    boost::asio::awaitable<http::response> wait_for_changes(std::string table, std::uint64_t after,
                                                            std::chrono::milliseconds wait);

    boost::asio::any_io_executor m_executor;
    timer_service& m_timers;
    row_store m_rows;
    store_state m_state = store_state::well;
    std::chrono::milliseconds m_delay{0};
    std::optional<std::uint64_t> m_told_era;
    std::vector<timer_subscription> m_planned_writes;
    std::uint64_t m_calls = 0;
    std::uint64_t m_unanswered = 0;
    http::server m_server;
};

} // namespace borageford::emulator
