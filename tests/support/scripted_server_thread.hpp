// A scripted_server that runs on a thread of its own, for tests with real processes.
#pragma once

#include "support/scripted_server.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <future>
#include <thread>
#include <type_traits>
#include <utility>

namespace borageford::test {

class scripted_server_thread {
public:
    scripted_server_thread() : m_thread([this] { m_context.run(); }) {}
    ~scripted_server_thread() {
        m_context.stop();
        m_thread.join();
    }
    scripted_server_thread(const scripted_server_thread&) = delete;
    scripted_server_thread& operator=(const scripted_server_thread&) = delete;
    scripted_server_thread(scripted_server_thread&&) = delete;
    scripted_server_thread& operator=(scripted_server_thread&&) = delete;

    /// Calls `function` with the server on its thread and returns the result.
    template <typename Function>
    auto with_server(Function function) -> std::invoke_result_t<Function, scripted_server&> {
        std::packaged_task<std::invoke_result_t<Function, scripted_server&>()> task(
            [this, &function] { return function(m_server); });
        auto result = task.get_future();
        boost::asio::post(m_context, [&task] { task(); });
        return result.get();
    }

    [[nodiscard]] boost::asio::ip::tcp::endpoint address() {
        return with_server([](const scripted_server& server) { return server.address(); });
    }
    void add(scripted_answer answer) {
        with_server([&](scripted_server& server) { server.add(std::move(answer)); });
    }

private:
    boost::asio::io_context m_context{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work{m_context.get_executor()};
    scripted_server m_server{m_context};
    std::thread m_thread;
};

} // namespace borageford::test
