// Implements runtime, which runs the process's threads and handles its signals, and prints the ready line.
#include "process/runtime.hpp"

#include "base/log.hpp"

#include <boost/asio/executor_work_guard.hpp>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <thread>
#include <utility>
#include <vector>

namespace borageford::process {
namespace {

constexpr int interrupted_exit_code = 130;

} // namespace

runtime::runtime(unsigned threads)
    : m_thread_count(threads),
      m_context(static_cast<int>(threads)),
      m_stop_signals(m_context, SIGINT, SIGTERM),
      m_reload_signals(m_context, SIGHUP) {}

void runtime::watch_stops(std::function<void()> stop_requested, repeated_stop repeated) {
    m_stop_signals.async_wait(
        [this, repeated, stop = std::move(stop_requested)](const boost::system::error_code& error, int) {
            if (error) {
                return;
            }
            log::info("stop_requested");
            watch_repeated_stops(repeated);
            stop();
        });
}

void runtime::watch_repeated_stops(repeated_stop repeated) {
    m_stop_signals.async_wait([this, repeated](const boost::system::error_code& error, int signal) {
        if (error) {
            return;
        }
        if (signal == SIGTERM && repeated == repeated_stop::is_ignored) {
            log::info("stop_requested_again");
            watch_repeated_stops(repeated);
            return;
        }
        log::warning("stopped_at_once");
        std::_Exit(interrupted_exit_code);
    });
}

void runtime::watch_reloads(std::function<void()> reload_requested) {
    m_reload_signals.async_wait(
        [this, reload = std::move(reload_requested)](const boost::system::error_code& error, int) {
            if (error) {
                return;
            }
            if (reload) {
                reload();
            } else {
                log::info("reload_passed_over");
            }
            watch_reloads(reload);
        });
}

void runtime::run(std::function<void()> stop_requested, std::function<void()> reload_requested,
                  repeated_stop repeated) {
    const auto work = boost::asio::make_work_guard(m_context);
    watch_stops(std::move(stop_requested), repeated);
    watch_reloads(std::move(reload_requested));
    std::vector<std::jthread> threads;
    for (unsigned index = 1; index < m_thread_count; ++index) {
        threads.emplace_back([this] { m_context.run(); });
    }
    m_context.run();
    threads.clear();
    // The process exits without destroying the suspended coroutines. They hold timers and strands whose Asio
    // services may be destroyed first, which corrupted the heap and turned a graceful stop into an abort
    // (exit code 134). All data that must be kept has been written before finish() was called.
    std::cout.flush();
    std::_Exit(EXIT_SUCCESS);
}

void runtime::finish() {
    m_context.stop();
}

void print_ready(std::span<const listener_address> listeners) {
    std::cout << "ready";
    for (const auto& [name, address] : listeners) {
        std::cout << ' ' << name << '=' << address;
    }
    std::cout << std::endl;
}

} // namespace borageford::process
