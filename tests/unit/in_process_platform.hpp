// A fake platform on a thread of the test's process, for unit tests of the classes that call the platform.
// Tests of whole processes use the program fake_platform.
#pragma once

#include "fakes/fake_server_runner.hpp"
#include "fakes/platform_table.hpp"
#include "fakes/vm_list.hpp"
#include "http/server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/json/array.hpp>

#include <map>
#include <mutex>
#include <string>
#include <thread>

namespace borageford::test {

/// Serves the table, the objects and the list of VMs over HTTP. Its functions may be called from any thread.
/// Invariant: the members declared after m_mutex, except m_thread, are accessed only while it is locked.
class in_process_platform {
public:
    in_process_platform()
        : m_server(
              m_context.get_executor(), {},
              [this](const http::request& call, http::response_writer& writer) {
                  return handle(call, writer);
              },
              [](error_kind, std::string_view) { return json_response(400, "{}"); }),
          m_address(m_server.listen({boost::asio::ip::address_v4::loopback(), 0})) {
        m_thread = std::jthread([this] { m_context.run(); });
    }
    ~in_process_platform() { m_context.stop(); }
    in_process_platform(const in_process_platform&) = delete;
    in_process_platform& operator=(const in_process_platform&) = delete;
    in_process_platform(in_process_platform&&) = delete;
    in_process_platform& operator=(in_process_platform&&) = delete;

    [[nodiscard]] boost::asio::ip::tcp::endpoint address() const { return m_address; }

    /// Answers every call with this status and does nothing else; 0 ends that.
    void set_status(unsigned status) {
        const std::scoped_lock lock(m_mutex);
        m_status = status;
    }
    /// The next `count` transactions take effect, but their connections are closed without an answer.
    void lose_answers(unsigned count) {
        const std::scoped_lock lock(m_mutex);
        m_lose_answers = count;
    }
    /// While true, reads return the rows as they were at this call.
    void set_stale_reads(bool stale) {
        const std::scoped_lock lock(m_mutex);
        m_table.set_stale_reads(stale);
    }
    /// The number of scans of the table so far.
    [[nodiscard]] std::size_t scans() {
        const std::scoped_lock lock(m_mutex);
        return m_scans;
    }
    /// Replaces the list of VMs; see vm_list::replace().
    void replace_vms(const boost::json::array& vms) {
        const std::scoped_lock lock(m_mutex);
        m_vms.replace(vms);
    }

private:
    /// The answer to a call, and whether to close the connection instead of sending it.
    struct decision {
        http::response response;
        bool is_lost = false;
    };

    boost::asio::awaitable<void> handle(const http::request& call, http::response_writer& writer) {
        const auto decided = decide(call);
        if (decided.is_lost) {
            writer.abort();
            co_return;
        }
        co_await writer.write(decided.response);
    }

    decision decide(const http::request& call) {
        const std::scoped_lock lock(m_mutex);
        if (m_status != 0) {
            return {json_response(m_status, "{}")};
        }
        const auto path = http::path_of(call.target);
        if (path == "/table/transact") {
            const auto outcome = m_table.transact(call.body);
            const bool is_lost = m_lose_answers > 0;
            m_lose_answers -= is_lost ? 1 : 0;
            return {json_response(outcome.status, outcome.body), is_lost};
        }
        return {answer_read(call, path)};
    }

    http::response answer_read(const http::request& call, std::string_view path) {
        const auto value = [&call](std::string_view name) {
            return http::query_value(call.target, name).value_or("");
        };
        if (path == "/table/row") {
            const auto outcome = m_table.read_row(value("key"));
            return json_response(outcome.status, outcome.body);
        }
        if (path == "/table/scan") {
            ++m_scans;
            const auto outcome = m_table.scan(value("prefix"), value("after"), std::stoul(value("limit")));
            return json_response(outcome.status, outcome.body);
        }
        if (path == "/vms") {
            return json_response(200, m_vms.changes_since(std::stoull(value("since"))));
        }
        if (call.method == "PUT") {
            m_objects[std::string(path)] = call.body;
            return json_response(200, "{}");
        }
        const auto found = m_objects.find(path);
        return found == m_objects.end() ? json_response(404, "{}") : json_response(200, found->second);
    }

    boost::asio::io_context m_context{1};
    http::server m_server;
    boost::asio::ip::tcp::endpoint m_address;
    std::mutex m_mutex;
    platform_table m_table;
    vm_list m_vms;
    std::map<std::string, std::string, std::less<>> m_objects;
    unsigned m_status = 0;
    unsigned m_lose_answers = 0;
    std::size_t m_scans = 0;
    std::jthread m_thread;
};

/// An event loop on two threads, on which the code under test runs.
class test_runtime {
public:
    test_runtime() {
        for (auto& thread : m_threads) {
            thread = std::jthread([this] { m_context.run(); });
        }
    }
    ~test_runtime() { stop(); }
    test_runtime(const test_runtime&) = delete;
    test_runtime& operator=(const test_runtime&) = delete;
    test_runtime(test_runtime&&) = delete;
    test_runtime& operator=(test_runtime&&) = delete;

    [[nodiscard]] boost::asio::any_io_executor executor() { return m_context.get_executor(); }

    /// Stops the event loop and waits for its threads; afterwards, objects that its handlers use may be
    /// destroyed.
    void stop() {
        m_context.stop();
        for (auto& thread : m_threads) {
            if (thread.joinable()) {
                thread.join();
            }
        }
    }

    /// Runs a coroutine on the event loop, waits for its end and returns its result or throws its exception.
    template <typename Result>
    Result wait_for(boost::asio::awaitable<Result> work) {
        return boost::asio::co_spawn(m_context, std::move(work), boost::asio::use_future).get();
    }

private:
    static constexpr std::size_t thread_count = 2;

    boost::asio::io_context m_context{static_cast<int>(thread_count)};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work{m_context.get_executor()};
    std::array<std::jthread, thread_count> m_threads;
};

/// The timeout that tests give to clients of the platform.
inline constexpr std::chrono::milliseconds platform_timeout{5000};

} // namespace borageford::test
