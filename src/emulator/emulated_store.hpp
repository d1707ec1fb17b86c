// An emulation of the platform's metadata store on a loopback address, with fault injection.
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

/// How the store treats calls.
enum class store_state : std::uint8_t {
    available,    ///< answers every call
    busy,         ///< answers every call with 503 without executing it
    rate_limited, ///< answers every call with 429 (too many requests) without executing it
    reset,        ///< closes the connection of every call without an answer
    silent,       ///< never answers a call, including the calls that were open when this state began
    partly,       ///< answers every second call with 503 without executing it
};

/// How the store is restored from an older copy. The restore loses the latest changes. As in the real system,
/// the writers of these changes write them again later, unless the row has been written in the meantime.
struct store_restore {
    std::chrono::milliseconds age{2000}; ///< age of the copy
    /// From the restore until lost changes in the table of backend servers are written again.
    std::chrono::milliseconds servers_after{1000};
    /// From the restore until all other lost changes are written again.
    std::chrono::milliseconds operators_after{1000};
};

/// Must be used on one executor with one thread only.
class emulated_store {
public:
    emulated_store(boost::asio::any_io_executor executor, timer_service& timers);

    /// Port 0 lets the kernel choose; returns the address in use.
    boost::asio::ip::tcp::endpoint listen(const boost::asio::ip::tcp::endpoint& address);

    /// The contents; changes to them take effect immediately.
    [[nodiscard]] row_store& rows() noexcept { return m_rows; }
    void set_state(store_state state) noexcept { m_state = state; }
    /// Restores the contents of some time ago and begins a new era.
    void restore_from_copy(const store_restore& how);
    /// Makes the following answers contain this era, like delayed answers from before a restore; nothing: the
    /// current era.
    void set_era_override(std::optional<std::uint64_t> era) noexcept { m_era_override = era; }
    /// Delays every answer by this time.
    void set_delay(std::chrono::milliseconds delay) noexcept { m_delay = delay; }
    /// How many calls arrived.
    [[nodiscard]] std::uint64_t calls() const noexcept { return m_calls; }
    /// How many open calls will never be answered.
    [[nodiscard]] std::uint64_t unanswered() const noexcept { return m_unanswered; }

private:
    boost::asio::awaitable<void> handle(const http::request& call, http::response_writer& writer);
    boost::asio::awaitable<void> leave_unanswered(http::response_writer& writer);
    boost::asio::awaitable<http::response> answer(const http::request& call);
    [[nodiscard]] bool should_refuse_call() noexcept;
    /// Writes lost changes again, except to rows that were written after the restore. `copied_version` is the
    /// version of the copy.
    void rewrite_lost_changes(const std::vector<store::row_change>& lost, std::uint64_t copied_version);
    boost::asio::awaitable<http::response> wait_for_changes(std::string table, std::uint64_t after,
                                                            std::chrono::milliseconds wait);

    boost::asio::any_io_executor m_executor;
    timer_service& m_timers;
    row_store m_rows;
    store_state m_state = store_state::available;
    std::chrono::milliseconds m_delay{0};
    std::optional<std::uint64_t> m_era_override;
    std::vector<timer_subscription> m_planned_writes;
    std::uint64_t m_calls = 0;
    std::uint64_t m_unanswered = 0;
    http::server m_server;
};

} // namespace borageford::emulator
