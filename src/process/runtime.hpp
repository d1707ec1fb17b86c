// The basis of a long-running process: its threads, its timers, the handling of signals and the identifier of
// this run of the process.
#pragma once

#include "base/identifier.hpp"
#include "base/timer_service.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>

#include <cstdint>
#include <functional>
#include <span>
#include <string_view>

namespace borageford::process {

/// A named address that the process listens on; printed in its ready line.
struct listener_address {
    std::string_view name;
    boost::asio::ip::tcp::endpoint address;
};

/// What a second SIGTERM does while the process is already stopping. A user at a terminal expects the process
/// to exit. A platform that restarts machines one after the other may send the signal twice, which must not
/// abort the requests in progress.
enum class repeated_stop : std::uint8_t {
    exits_immediately, ///< exit immediately
    is_ignored,        ///< ignore the signal
};

/// Owns the threads, timers and signal handlers of a process. A process has one object of this class.
class runtime {
public:
    /// `threads` is the number of threads that execute handlers, including the one that calls run().
    explicit runtime(unsigned threads);

    /// Runs its work on any of the threads; use a strand where calls must not overlap.
    [[nodiscard]] boost::asio::any_io_executor executor() { return m_context.get_executor(); }
    [[nodiscard]] timer_service& timers() noexcept { return m_timers; }
    /// A random identifier of this run of the process. It tells peers that the process was restarted and has
    /// lost its in-memory state.
    [[nodiscard]] const identifier& incarnation() const noexcept { return m_incarnation; }

    /// Executes handlers until finish() is called and then exits the process. The first SIGTERM or SIGINT
    /// calls `stop_requested`, which starts a graceful stop. A second SIGINT exits immediately with exit code
    /// 130, and so does a second SIGTERM unless `repeated` is `is_ignored`. Each SIGHUP calls
    /// `reload_requested`; if that is empty, the signal is logged and ignored.
    [[noreturn]] void run(std::function<void()> stop_requested, std::function<void()> reload_requested = {},
                          repeated_stop repeated = repeated_stop::exits_immediately);

    /// Makes run() exit the process with exit code 0.
    void finish();

private:
    void watch_stops(std::function<void()> stop_requested, repeated_stop repeated);
    void watch_repeated_stops(repeated_stop repeated);
    void watch_reloads(std::function<void()> reload_requested);

    unsigned m_thread_count;
    identifier m_incarnation = identifier::random();
    timer_service m_timers;
    boost::asio::io_context m_context;
    /// The signals are registered when this object is created, not in run(). Otherwise a SIGHUP that arrives
    /// while the process is starting would terminate it, although it only asks the process to reload its
    /// settings.
    boost::asio::signal_set m_stop_signals;
    boost::asio::signal_set m_reload_signals;
};

/// Prints "ready NAME=IP:PORT ..." to standard output. The program that started this process waits for the
/// line.
void print_ready(std::span<const listener_address> listeners);

} // namespace borageford::process
