// Threads, signals and the ready line.
#include "process/runtime.hpp"

#include "base/log.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <thread>
#include <utility>
#include <vector>

namespace borageford::process {
namespace {

constexpr int interrupted_exit_code = 130;

/// Waits for the first signal, then for the second.
void watch_signals(const std::shared_ptr<boost::asio::signal_set>& signals,
                   std::function<void()> stop_requested) {
    signals->async_wait(
        [signals, stop = std::move(stop_requested)](const boost::system::error_code& error, int) {
            if (error) {
                return;
            }
            if (!stop) {
                log::warning("stopped_at_once");
                std::_Exit(interrupted_exit_code);
            }
            log::info("stop_requested");
            watch_signals(signals, {});
            stop();
        });
}

void watch_reloads(const std::shared_ptr<boost::asio::signal_set>& signals,
                   std::function<void()> reload_requested) {
    signals->async_wait(
        [signals, reload = std::move(reload_requested)](const boost::system::error_code& error, int) {
            if (error) {
                return;
            }
            reload();
            watch_reloads(signals, reload);
        });
}

} // namespace

runtime::runtime(unsigned threads) : m_thread_count(threads), m_context(static_cast<int>(threads)) {}

void runtime::run(std::function<void()> stop_requested, std::function<void()> reload_requested) {
    const auto work = boost::asio::make_work_guard(m_context);
    const auto signals = std::make_shared<boost::asio::signal_set>(m_context, SIGINT, SIGTERM);
    watch_signals(signals, std::move(stop_requested));
    if (reload_requested) {
        watch_reloads(std::make_shared<boost::asio::signal_set>(m_context, SIGHUP),
                      std::move(reload_requested));
    }
    std::vector<std::jthread> threads;
    for (unsigned index = 1; index < m_thread_count; ++index) {
        threads.emplace_back([this] { m_context.run(); });
    }
    m_context.run();
    threads.clear();
    // What still waits is not taken apart: coroutines that end with the context hold timers and strands whose
    // services may go first, which corrupted the heap and turned a graceful stop into an abort (exit code
    // 134). Everything that must last was written before finish().
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
