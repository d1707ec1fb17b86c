// What a long-running process stands on: its threads, timers, incarnation and the signals that stop it.
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

/// An address that the process listens on, for its ready line.
struct listener_address {
    std::string_view name;
    boost::asio::ip::tcp::endpoint address;
};

/// What a further SIGTERM does to a process that is stopping. A person at a terminal wants it to end; a
/// platform that restarts machines in turn may ask twice, and must not cut what runs by it.
enum class repeated_stop : std::uint8_t { ends_at_once, is_passed_over };

class runtime {
public:
    explicit runtime(unsigned threads);

    [[nodiscard]] boost::asio::any_io_executor executor() { return m_context.get_executor(); }
    [[nodiscard]] timer_service& timers() noexcept { return m_timers; }
    /// Drawn anew at every start; peers learn from it that what a former process knew is gone.
    [[nodiscard]] const identifier& incarnation() const noexcept { return m_incarnation; }

    /// Runs until finish(). The first SIGTERM or SIGINT calls `stop_requested` (the graceful stop); a
    /// second SIGINT ends the process at once with exit code 130, and so does a second SIGTERM unless
    /// `repeated` says otherwise. Each SIGHUP calls `reload_requested`; without
    /// one, it is logged and passed over.
    [[noreturn]] void run(std::function<void()> stop_requested, std::function<void()> reload_requested = {},
                          repeated_stop repeated = repeated_stop::ends_at_once);

    /// Lets run() end the process with exit code 0.
    void finish();

private:
    void watch_stops(std::function<void()> stop_requested, repeated_stop repeated);
    void watch_repeated_stops(repeated_stop repeated);
    void watch_reloads(std::function<void()> reload_requested);

    unsigned m_thread_count;
    identifier m_incarnation = identifier::random();
    timer_service m_timers;
    boost::asio::io_context m_context;
    /// Registered with the object, not with run(): a signal that came while a process still started ended it,
    /// which left its machine without a process though it was only told to read its settings again.
    boost::asio::signal_set m_stop_signals;
    boost::asio::signal_set m_reload_signals;
};

/// Prints "ready NAME=IP:PORT ..." on standard output: whoever started the process waits for this line.
void print_ready(std::span<const listener_address> listeners);

} // namespace borageford::process
