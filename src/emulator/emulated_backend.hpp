// One backend server on loopback: a model engine that streams events, or a plain service, with the faults
// that such servers have.
#pragma once

#include "base/timer_service.hpp"
#include "emulator/batching_engine.hpp"
#include "http/server.hpp"
#include "routing/header_names.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace borageford::emulator {

/// What the server does with the requests that it gets.
enum class backend_fault : std::uint8_t {
    none,
    error,          ///< answers 500 after running
    refuse,         ///< says that it didn't run the request
    cut_unanswered, ///< runs the request and ends the connection without an answer
    cut_midway,     ///< ends the connection in the middle of the answer
    hang,           ///< runs the request and never answers
    garble,         ///< answers with bytes that are no response
    second_answer,  ///< sends an answer that belongs to nobody after its own
    unframed,       ///< an answer without a length that ends with the connection
};

struct backend_options {
    std::string id;
    std::uint64_t start = 0; ///< names this start, as it is registered; 0: not told
    std::string service;
    std::string version; ///< of its software, as it is registered; empty: not told
    unsigned slots = 8;
    std::size_t queue = 48;
    /// A model engine; nothing for a plain service.
    std::optional<engine_model> engine;
    std::chrono::milliseconds work{10}; ///< of a call to a plain service
    std::chrono::seconds keep_alive{0}; ///< told with each answer; 0: not told
};

/// One request that a server has begun to run.
struct recorded_run {
    std::string request_id;
    std::string target;
    std::string body;
    std::string workspace;
    std::chrono::steady_clock::time_point begun;
    bool is_finished = false;
};

/// Belongs to one thread's executor.
class emulated_backend {
public:
    emulated_backend(boost::asio::any_io_executor executor, timer_service& timers,
                     routing::header_names fields, backend_options options);
    ~emulated_backend();
    emulated_backend(const emulated_backend&) = delete;
    emulated_backend& operator=(const emulated_backend&) = delete;
    emulated_backend(emulated_backend&&) = delete;
    emulated_backend& operator=(emulated_backend&&) = delete;

    boost::asio::ip::tcp::endpoint listen(const boost::asio::ip::tcp::endpoint& address);

    /// Takes no more connections, as a server that has crashed; open ones are ended.
    void stop();

    /// The next `count` requests meet this fault; all of them when 0.
    void set_fault(backend_fault fault, unsigned count = 0) noexcept;
    /// Times as long as usual.
    void set_slowness(double factor);

    [[nodiscard]] const backend_options& options() const noexcept { return m_options; }
    /// Of this start, among all that there were: the id, with the start where it tells one.
    [[nodiscard]] std::string name() const;
    [[nodiscard]] const std::vector<recorded_run>& runs() const noexcept { return m_runs; }
    [[nodiscard]] std::size_t in_progress() const noexcept { return m_in_progress; }
    [[nodiscard]] std::size_t open_connections() const noexcept { return m_server.open_connections(); }
    /// Requests that reached it, run or refused.
    [[nodiscard]] std::uint64_t arrivals() const noexcept { return m_arrivals; }

private:
    struct engine_driver;

    boost::asio::awaitable<void> handle(const http::request& call, http::response_writer& writer);
    boost::asio::awaitable<void> run(const http::request& call, http::response_writer& writer);
    boost::asio::awaitable<void> run_plain(const http::request& call, http::response_writer& writer,
                                           backend_fault fault, std::size_t number);
    boost::asio::awaitable<void> run_stream(const http::request& call, http::response_writer& writer,
                                            backend_fault fault, std::size_t number);
    void watch_caller(http::response_writer& writer, const std::shared_ptr<bool>& is_gone);
    [[nodiscard]] backend_fault take_fault() noexcept;
    [[nodiscard]] http::response refusal(unsigned status) const;
    [[nodiscard]] http::header_fields answer_fields(const http::request& call, std::size_t number) const;
    [[nodiscard]] engine_request make_engine_request(const http::request& call) const;

    boost::asio::any_io_executor m_executor;
    timer_service& m_timers;
    routing::header_names m_fields;
    backend_options m_options;
    std::unique_ptr<engine_driver> m_engine;
    backend_fault m_fault = backend_fault::none;
    unsigned m_fault_count = 0;
    bool m_is_stopped = false;
    double m_slowness = 1;
    std::vector<recorded_run> m_runs;
    std::size_t m_in_progress = 0;
    std::uint64_t m_arrivals = 0;
    http::server m_server;
};

} // namespace borageford::emulator
