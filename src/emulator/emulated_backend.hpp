// An emulated backend server on a loopback address, with fault injection. It is either a model engine that
// answers with a stream of events, or a plain service that answers with one response.
#pragma once

#include "base/timer_service.hpp"
#include "emulator/batching_engine.hpp"
#include "emulator/fatal_record.hpp"
#include "emulator/partial_faults.hpp"
#include "emulator/rate_limit_excess.hpp"
#include "emulator/recorded_arrival.hpp"
#include "emulator/server_statement.hpp"
#include "http/server.hpp"
#include "routing/header_names.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace borageford::emulator {

/// How the server misbehaves.
enum class backend_fault : std::uint8_t {
    none,
    error,       ///< runs the request and answers 500
    unavailable, ///< runs the request and answers 503, without header_names::not_executed
    refuse,      ///< answers 503 with header_names::not_executed, without running the request
    /// The same, and sends that answer again when the next request has arrived on the connection.
    refuse_and_repeat,
    cut_unanswered, ///< runs the request and closes the connection without a complete answer
    cut_midway,     ///< closes the connection in the middle of the answer
    /// Closes the connection in the middle of the first event of a stream, or of an answer without events.
    cut_first_event,
    hang,          ///< runs the request and never answers
    garble,        ///< answers with bytes that are no HTTP response
    second_answer, ///< sends another response, for which there is no request, after the correct one
    /// Sends a success that names no request when the next request has arrived on the connection.
    unnamed_answer,
    unsigned_answer, ///< answers without header_names::signature
    /// Sends the answer of a plain service again when the next request has arrived on the connection.
    repeat,
    unframed, ///< answers without a length, so that only the end of the connection ends the answer
    /// The same, and the connection ends in the middle of the second event of a stream.
    unframed_midway,
    /// The same, but between the second event of a stream and the third, since the server's process is
    /// killed.
    unframed_killed,
    endless, ///< begins an answer, or the first event of a stream, and goes on until the caller has gone
};

/// Fixed properties of an emulated server.
struct backend_options {
    std::string id;
    std::uint64_t start = 0; ///< distinguishes the starts of one server, as registered; 0: not registered
    std::string service;
    std::string version;    ///< the software's version, as registered; empty: not registered
    unsigned slots = 8;     ///< requests that run at a time
    std::size_t queue = 48; ///< requests that wait for a slot; further ones are refused
    /// The model engine; nothing for a plain service.
    std::optional<engine_model> engine;
    std::chrono::milliseconds work{10}; ///< how long a call to a plain service takes
    /// Bytes that are added to each answer or, for an engine, to each event.
    std::size_t padding = 0;
    /// It ends an answer of which nothing is read for this time.
    std::chrono::milliseconds unread_limit{30000};
    std::chrono::seconds keep_alive{0}; ///< announced in the header Keep-Alive of each answer; 0: none
};

/// The record of a request that a server began to run.
struct recorded_run {
    std::string request_id;
    std::string target;
    std::string body;
    std::string workspace;
    std::chrono::steady_clock::time_point begun;
    bool is_finished = false;
};

/// Which requests crash the server, as soon as it begins to answer them.
struct crash_rule {
    std::string body_text; ///< requests whose bodies contain this text; empty: none
    /// Requests that have the part with this id in their prompts, but not as their last one; empty: none.
    std::string part = {};
    /// The answer is sent first, without a length, so that it seems to end with its connection.
    bool is_answered = false;
};

/// Must be used on one executor with one thread only.
class emulated_backend {
public:
    emulated_backend(boost::asio::any_io_executor executor, timer_service& timers,
                     routing::header_names fields, backend_options options);
    ~emulated_backend();
    emulated_backend(const emulated_backend&) = delete;
    emulated_backend& operator=(const emulated_backend&) = delete;
    emulated_backend(emulated_backend&&) = delete;
    emulated_backend& operator=(emulated_backend&&) = delete;

    /// Begins to accept connections. Port 0 lets the kernel choose; returns the address in use.
    boost::asio::ip::tcp::endpoint listen(const boost::asio::ip::tcp::endpoint& address);

    /// Crashes, as by stop(), when it begins to answer a request that the rule names, and calls `on_crash`
    /// then; also when its engine's memory runs out.
    void set_crash_rule(crash_rule rule, std::function<void()> on_crash);
    /// The requests that the rule names by their bodies, and those that it names by a part.
    [[nodiscard]] const fatal_record& fatal_by_body() const noexcept { return m_fatal_by_body; }
    [[nodiscard]] const fatal_record& fatal_by_part() const noexcept { return m_fatal_by_part; }
    /// Whether it crashed because its engine's memory ran out (engine_model::memory_tokens).
    [[nodiscard]] bool has_run_out_of_memory() const noexcept { return m_has_run_out_of_memory; }

    /// Emulates a crash: no more connections are accepted, and the running requests' connections are closed.
    void stop();

    /// Applies this fault to the next `count` requests; to all further requests when `count` is 0.
    void set_fault(backend_fault fault, unsigned count = 0) noexcept;
    /// From now on, draws for each request which of these faults its answer has, besides the fault of
    /// set_fault().
    void set_partial_faults(const partial_faults& faults) noexcept { m_partial_faults = faults; }
    /// How many answers it has sent when a later request had arrived on the connection.
    [[nodiscard]] std::size_t late_answers() const noexcept { return m_late_answers; }
    /// Makes all work take `factor` times as long as usual.
    void set_slowness(double factor);

    /// Names this rate limit, in requests per second, in every answer from now on; nothing: names none.
    void set_rate_limit(std::optional<double> per_second);
    /// Says in every answer from now on that it leaves.
    void set_leaving() noexcept { m_is_leaving = true; }
    /// Asks in every refusal from now on for this pause; zero: asks for none.
    void set_pause(std::chrono::milliseconds pause) noexcept { m_pause = pause; }
    /// What it has said about itself in its answers, except for rate limits.
    [[nodiscard]] const std::vector<server_statement>& statements() const noexcept { return m_statements; }
    /// Adds these fields to every answer from now on.
    void set_answer_fields(http::header_fields fields) { m_additional_fields = std::move(fields); }

    [[nodiscard]] const backend_options& options() const noexcept { return m_options; }
    /// The server's id, followed by "@" and the start number if there is one.
    [[nodiscard]] std::string name() const;
    [[nodiscard]] const std::vector<recorded_run>& runs() const noexcept { return m_runs; }
    [[nodiscard]] std::size_t in_progress() const noexcept { return m_in_progress; }
    [[nodiscard]] std::size_t open_connections() const noexcept { return m_server.open_connections(); }
    /// How many requests arrived, whether they were run or refused.
    [[nodiscard]] std::uint64_t arrivals() const noexcept { return m_arrived_requests.size(); }
    /// The rate limits that it has named so far.
    [[nodiscard]] const std::vector<named_limit>& named_limits() const noexcept { return m_named_limits; }
    /// When each of the requests that it counts as arrivals() arrived.
    [[nodiscard]] std::vector<std::chrono::steady_clock::time_point> arrival_times() const;
    /// The same arrivals with the ids of their requests.
    [[nodiscard]] const std::vector<recorded_arrival>& arrived_requests() const noexcept {
        return m_arrived_requests;
    }

private:
    struct engine_driver;

    boost::asio::awaitable<void> handle(const http::request& call, http::response_writer& writer);
    boost::asio::awaitable<void> run(const http::request& call, http::response_writer& writer);
    boost::asio::awaitable<void> run_plain(const http::request& call, http::response_writer& writer,
                                           backend_fault fault, std::size_t number);
    boost::asio::awaitable<void> run_stream(const http::request& call, http::response_writer& writer,
                                            backend_fault fault, std::size_t number);
    boost::asio::awaitable<void> run_unframed_stream(const http::request& call, http::response_writer& writer,
                                                     backend_fault fault, std::size_t number);
    boost::asio::awaitable<void> run_endless(const http::request& call, http::response_writer& writer,
                                             std::size_t number);
    void watch_caller(http::response_writer& writer, const std::shared_ptr<bool>& is_gone);
    /// The record of the requests that the rule names and to which this one belongs; null: to none.
    [[nodiscard]] fatal_record* find_fatal_record(const http::request& call);
    /// Crashes if the rule names this request. Returns whether the server has crashed by then.
    bool apply_crash_rule(const http::request& call);
    void crash();
    void check_memory();
    [[nodiscard]] backend_fault take_fault();
    [[nodiscard]] bool draw(double probability);
    void send_before_next(http::response_writer& writer, const http::response& answer);
    [[nodiscard]] http::response refuse(const http::request& call, unsigned status);
    [[nodiscard]] http::header_fields answer_fields(const http::request& call, std::size_t number);
    [[nodiscard]] http::header_fields make_statements(const http::request& call,
                                                      std::chrono::milliseconds pause);
    [[nodiscard]] engine_request make_engine_request(const http::request& call) const;

    boost::asio::any_io_executor m_executor;
    timer_service& m_timers;
    routing::header_names m_fields;
    backend_options m_options;
    std::unique_ptr<engine_driver> m_engine;
    backend_fault m_fault = backend_fault::none;
    unsigned m_fault_count = 0;
    partial_faults m_partial_faults;
    std::set<std::uint64_t> m_awaiting_next; ///< connections with an answer for their next request's arrival
    std::size_t m_late_answers = 0;
    std::mt19937_64 m_random;
    bool m_is_stopped = false;
    bool m_has_run_out_of_memory = false;
    crash_rule m_crash_rule;
    std::function<void()> m_on_crash;
    fatal_record m_fatal_by_body;
    fatal_record m_fatal_by_part;
    double m_slowness = 1;
    std::vector<recorded_run> m_runs;
    std::size_t m_in_progress = 0;
    std::vector<recorded_arrival> m_arrived_requests;
    http::header_fields m_additional_fields;
    std::vector<named_limit> m_named_limits;
    bool m_is_leaving = false;
    std::chrono::milliseconds m_pause{0};
    std::vector<server_statement> m_statements;
    http::server m_server;
};

} // namespace borageford::emulator
