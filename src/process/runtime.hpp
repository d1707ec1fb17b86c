// What a long-running process stands on: its threads, timers, incarnation and the signals that stop it.
#pragma once

#include "base/identifier.hpp"
#include "base/timer_service.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <span>
#include <string_view>

namespace borageford::process {

/// An address that the process listens on, for its ready line.
struct listener_address {
    std::string_view name;
    boost::asio::ip::tcp::endpoint address;
};

class runtime {
public:
    explicit runtime(unsigned threads);

    [[nodiscard]] boost::asio::any_io_executor executor() { return m_context.get_executor(); }
    [[nodiscard]] timer_service& timers() noexcept { return m_timers; }
    /// Drawn anew at every start; peers learn from it that what a former process knew is gone.
    [[nodiscard]] const identifier& incarnation() const noexcept { return m_incarnation; }

    /// Runs until finish(). The first SIGTERM or SIGINT calls `stop_requested` (the graceful stop); a
    /// second one ends the process at once with exit code 130. Each SIGHUP calls `reload_requested`; without
    /// one, the signal does what the system does with it.
    [[noreturn]] void run(std::function<void()> stop_requested, std::function<void()> reload_requested = {});

    /// Lets run() end the process with exit code 0.
    void finish();

private:
    unsigned m_thread_count;
    identifier m_incarnation = identifier::random();
    timer_service m_timers;
    boost::asio::io_context m_context;
};

/// Prints "ready NAME=IP:PORT ..." on standard output: whoever started the process waits for this line.
void print_ready(std::span<const listener_address> listeners);

} // namespace borageford::process
