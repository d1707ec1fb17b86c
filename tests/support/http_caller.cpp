// Runs the calls of all pending_call objects on one shared thread, and raw exchanges on the thread of the
// caller.
#include "support/http_caller.hpp"

#include "support/wait_until.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <mutex>
#include <stdexcept>
#include <sys/socket.h>
#include <sys/time.h>
#include <thread>

namespace borageford::test {

namespace asio = boost::asio;

namespace {

/// The thread on which all calls are sent and their answers are read.
class caller_thread {
public:
    caller_thread() : m_work(m_context.get_executor()), m_thread([this] { m_context.run(); }) {}
    ~caller_thread() {
        m_context.stop();
        m_thread.join();
    }
    caller_thread(const caller_thread&) = delete;
    caller_thread& operator=(const caller_thread&) = delete;
    caller_thread(caller_thread&&) = delete;
    caller_thread& operator=(caller_thread&&) = delete;

    static asio::io_context& context() {
        static caller_thread shared;
        return shared.m_context;
    }

private:
    asio::io_context m_context{1};
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    std::thread m_thread;
};

/// Limits that only end a call that would hang.
http::exchange_limits hang_limits() {
    http::exchange_limits limits;
    limits.connect = hang_timeout;
    limits.head = 3 * hang_timeout;
    limits.idle = 3 * hang_timeout;
    return limits;
}

} // namespace

std::string caller_result::header(std::string_view name) const {
    return std::string(http::find_header(headers, name).value_or(""));
}

struct pending_call::state {
    state(const http::endpoint& address, http::request request)
        : server(address),
          sent(std::move(request)),
          exchange(caller_thread::context().get_executor(), hang_limits()) {}

    asio::awaitable<void> run() {
        try {
            const auto head = co_await exchange.send(server, sent);
            update([&] {
                result.status = head.status;
                result.headers = head.headers;
            });
            for (auto piece = co_await exchange.read_some(); !piece.empty();
                 piece = co_await exchange.read_some()) {
                update([&] { result.body += piece; });
            }
            update([&] { result.is_complete = true; });
        } catch (const std::exception& problem) {
            update([&] { result.error = problem.what(); });
        }
        update([&] { finished = true; });
    }

    template <typename Action>
    void update(Action action) {
        const std::scoped_lock lock(mutex);
        action();
    }

    http::endpoint server;
    http::request sent;
    http::client_exchange exchange;
    std::mutex mutex;
    caller_result result;  ///< guarded by `mutex`
    bool finished = false; ///< guarded by `mutex`
};

pending_call::pending_call(const http::endpoint& server, http::request call)
    : m_state(std::make_shared<state>(server, std::move(call))) {
    asio::co_spawn(
        caller_thread::context(), [shared = m_state]() -> asio::awaitable<void> { co_await shared->run(); },
        asio::detached);
}

pending_call::~pending_call() {
    disconnect();
}

void pending_call::wait_for_bytes(std::size_t count) {
    wait_until("an answer of " + std::to_string(count) + " bytes", [&] {
        const std::scoped_lock lock(m_state->mutex);
        return m_state->finished || m_state->result.body.size() >= count;
    });
    const std::scoped_lock lock(m_state->mutex);
    if (m_state->result.body.size() < count) {
        throw std::runtime_error("the answer ended early: " + std::to_string(m_state->result.status) + " " +
                                 m_state->result.body + " " + m_state->result.error);
    }
}

bool pending_call::is_finished() const {
    const std::scoped_lock lock(m_state->mutex);
    return m_state->finished;
}

caller_result pending_call::wait() {
    wait_until("the end of an answer", [this] { return is_finished(); }, 2 * hang_timeout);
    const std::scoped_lock lock(m_state->mutex);
    return m_state->result;
}

void pending_call::disconnect() {
    asio::post(caller_thread::context(), [shared = m_state] { shared->exchange.cancel(); });
}

caller_result call(const http::endpoint& server, http::request request) {
    pending_call pending(server, std::move(request));
    return pending.wait();
}

std::string fetch_text(const http::endpoint& server, const std::string& target) {
    const auto answer = call(server, {"GET", target, {}, {}});
    if (answer.status != 200 || !answer.is_complete) {
        throw std::runtime_error(target + " answered " + std::to_string(answer.status) + " " + answer.body);
    }
    return answer.body;
}

std::string post_text(const http::endpoint& server, const std::string& target, const std::string& body) {
    const auto answer = call(server, {"POST", target, {{"Content-Type", "application/json"}}, body});
    if (answer.status != 200 || !answer.is_complete) {
        throw std::runtime_error(target + " answered " + std::to_string(answer.status) + " " + answer.body);
    }
    return answer.body;
}

std::string exchange_raw(const http::endpoint& server, std::string_view bytes,
                         std::chrono::milliseconds limit) {
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    socket.connect(server);
    std::string received;
    boost::system::error_code error;
    asio::async_write(socket, asio::buffer(bytes.data(), bytes.size()),
                      [](const boost::system::error_code&, std::size_t) {});
    asio::async_read(socket, asio::dynamic_buffer(received),
                     [&](const boost::system::error_code& failure, std::size_t) { error = failure; });
    context.run_for(limit);
    return received;
}

} // namespace borageford::test
