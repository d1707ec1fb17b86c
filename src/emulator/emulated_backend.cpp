// A model engine is driven by the steady clock; the work of a plain service is emulated by a delay.
#include "emulator/emulated_backend.hpp"

#include "base/hash.hpp"
#include "base/pause.hpp"
#include "emulator/event_text.hpp"
#include "http/message.hpp"
#include "platform/departure_codec.hpp"
#include "platform/rate_limit_codec.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <charconv>
#include <deque>
#include <utility>

namespace borageford::emulator {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

constexpr unsigned status_ok = 200;
constexpr unsigned status_misdirected = 421;
constexpr unsigned status_error = 500;
constexpr unsigned status_unavailable = 503;
/// The period at which a stream checks for new events of its engine.
constexpr milliseconds poll_period{2};

std::string header_value(const http::request& call, const std::string& name) {
    return std::string(http::find_header(call.headers, name).value_or(""));
}

/// The number at the begin of a text; 0 when there is none.
double parse_number(std::string_view text) {
    unsigned value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

http::server_limits make_limits(const backend_options& options) {
    http::server_limits result;
    result.write_time = options.unread_limit;
    return result;
}

/// The status line and the fields of an answer.
std::string compose_head(const http::response_head& answer) {
    std::string head = "HTTP/1.1 " + std::to_string(answer.status) + " \r\n";
    for (const auto& field : answer.headers) {
        head.append(field.name).append(": ").append(field.value).append("\r\n");
    }
    return head;
}

std::string compose_length(const std::string& body) {
    return "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
}

std::string compose(const http::response& answer) {
    return compose_head(answer.head) + compose_length(answer.body) + answer.body;
}

/// The status of an answer after the run.
unsigned status_of(backend_fault fault) {
    switch (fault) {
    case backend_fault::error:
        return status_error;
    case backend_fault::unavailable:
        return status_unavailable;
    default:
        return status_ok;
    }
}

bool is_failure(backend_fault fault) {
    return status_of(fault) != status_ok;
}

/// Whether the answer itself is a whole one with a length.
bool is_framed_answer(backend_fault fault) {
    using enum backend_fault;
    return fault == none || is_failure(fault) || fault == repeat || fault == unnamed_answer ||
           fault == unsigned_answer;
}

/// The answer to a request that the HTTP server couldn't parse.
http::response refuse_unread(error_kind kind, std::string_view detail) {
    return http::make_response(answer_for(kind).http_status, "text/plain", std::string(detail));
}

} // namespace

/// The engine's model, and the events that it has produced and that no stream has sent yet.
struct emulated_backend::engine_driver {
    explicit engine_driver(engine_model model) : engine(model, steady_clock::now()) {}

    void advance() {
        for (const auto& event : engine.advance(steady_clock::now())) {
            made[event.request].push_back(event);
        }
    }

    batching_engine engine;
    std::map<std::uint64_t, std::deque<engine_event>> made;
    std::uint64_t last_number = 0;
};

emulated_backend::emulated_backend(asio::any_io_executor executor, timer_service& timers,
                                   routing::header_names fields, backend_options options)
    : m_executor(std::move(executor)),
      m_timers(timers),
      m_fields(std::move(fields)),
      m_options(std::move(options)),
      m_random(hash_bytes(m_options.id)),
      m_server(
          m_executor, make_limits(m_options),
          [this](const http::request& call, http::response_writer& writer) { return handle(call, writer); },
          refuse_unread) {
    if (m_options.engine.has_value()) {
        m_engine = std::make_unique<engine_driver>(*m_options.engine);
    }
}

emulated_backend::~emulated_backend() = default;

asio::ip::tcp::endpoint emulated_backend::listen(const asio::ip::tcp::endpoint& address) {
    return m_server.listen(address);
}

void emulated_backend::stop() {
    m_is_stopped = true;
    m_server.close_all();
}

void emulated_backend::set_crash_rule(crash_rule rule, std::function<void()> on_crash) {
    m_crash_rule = std::move(rule);
    m_on_crash = std::move(on_crash);
}

fatal_record* emulated_backend::find_fatal_record(const http::request& call) {
    const auto& text = m_crash_rule.body_text;
    if (!text.empty() && call.body.find(text) != std::string::npos) {
        return &m_fatal_by_body;
    }
    const auto parts = "," + header_value(call, m_fields.prompt_parts);
    const auto& part = m_crash_rule.part;
    const auto found = part.empty() ? std::string::npos : parts.find("," + part + ":");
    return found != std::string::npos && found < parts.rfind(',') ? &m_fatal_by_part : nullptr;
}

bool emulated_backend::apply_crash_rule(const http::request& call) {
    auto* const fatal = find_fatal_record(call);
    if (m_is_stopped || fatal == nullptr) {
        return m_is_stopped;
    }
    fatal->crashes.push_back(steady_clock::now());
    crash();
    return true;
}

void emulated_backend::crash() {
    stop();
    if (m_on_crash) {
        // Posted, because the callback may destroy this server's successor or replace this server.
        asio::post(m_executor, m_on_crash);
    }
}

void emulated_backend::check_memory() {
    if (!m_is_stopped && m_engine->engine.is_over_memory()) {
        m_has_run_out_of_memory = true;
        crash();
    }
}

/// Sets the flag `is_gone` when the caller closes its connection.
void emulated_backend::watch_caller(http::response_writer& writer, const std::shared_ptr<bool>& is_gone) {
    const auto watch = [](http::response_writer watched,
                          std::shared_ptr<bool> flag) -> asio::awaitable<void> {
        co_await watched.wait_for_disconnect();
        *flag = true;
    };
    asio::co_spawn(m_executor, watch(writer, is_gone), asio::detached);
}

void emulated_backend::set_fault(backend_fault fault, unsigned count) noexcept {
    m_fault = fault;
    m_fault_count = count;
}

void emulated_backend::set_slowness(double factor) {
    m_slowness = factor;
    if (m_engine != nullptr) {
        m_engine->engine.set_speed(m_options.engine->speed / factor);
    }
}

void emulated_backend::set_rate_limit(std::optional<double> per_second) {
    m_named_limits.push_back({steady_clock::now(), per_second});
    m_additional_fields.clear();
    if (per_second.has_value()) {
        m_additional_fields.push_back({m_fields.rate_limit, platform::encode_rate_limit(*per_second)});
    }
}

bool emulated_backend::draw(double probability) {
    return probability > 0 && std::bernoulli_distribution(probability)(m_random);
}

backend_fault emulated_backend::take_fault() {
    const auto fault = m_fault;
    if (fault == backend_fault::none && draw(m_partial_faults.unavailable)) {
        return backend_fault::unavailable;
    }
    if (m_fault_count > 0) {
        --m_fault_count;
        m_fault = m_fault_count == 0 ? backend_fault::none : m_fault;
    }
    return fault;
}

std::string emulated_backend::name() const {
    return m_options.start == 0 ? m_options.id : m_options.id + "@" + std::to_string(m_options.start);
}

std::vector<steady_clock::time_point> emulated_backend::arrival_times() const {
    std::vector<steady_clock::time_point> result;
    result.reserve(m_arrived_requests.size());
    std::ranges::transform(m_arrived_requests, std::back_inserter(result), &recorded_arrival::at);
    return result;
}

http::response emulated_backend::refuse(const http::request& call, unsigned status) {
    auto answer = http::make_response(status, "text/plain", "");
    answer.head.headers.push_back({m_fields.request_id, header_value(call, m_fields.request_id)});
    if (status != status_misdirected) {
        answer.head.headers.push_back({m_fields.not_executed, "1"});
        std::ranges::copy(make_statements(call, m_pause), std::back_inserter(answer.head.headers));
    }
    return answer;
}

/// Returns the fields of an answer with which the server says something about itself.
http::header_fields emulated_backend::make_statements(const http::request& call,
                                                      std::chrono::milliseconds pause) {
    auto fields = m_additional_fields;
    if (m_is_leaving) {
        fields.push_back({m_fields.leaving, std::string(platform::leaving_value)});
    }
    if (pause.count() > 0) {
        fields.push_back({m_fields.backoff, http::to_seconds_text(pause)});
    }
    if (m_is_leaving || pause.count() > 0) {
        m_statements.push_back(
            {header_value(call, m_fields.request_id), steady_clock::now(), m_is_leaving, pause});
    }
    return fields;
}

http::header_fields emulated_backend::answer_fields(const http::request& call, std::size_t number) {
    http::header_fields fields{{m_fields.request_id, header_value(call, m_fields.request_id)},
                               {m_fields.signature, name() + "." + std::to_string(number)}};
    if (m_options.keep_alive.count() > 0) {
        fields.push_back({"Keep-Alive", "timeout=" + std::to_string(m_options.keep_alive.count())});
    }
    std::ranges::copy(make_statements(call, {}), std::back_inserter(fields));
    return fields;
}

asio::awaitable<void> emulated_backend::handle(const http::request& call, http::response_writer& writer) {
    m_late_answers += m_awaiting_next.erase(writer.connection());
    const auto arrival = m_arrived_requests.size();
    m_arrived_requests.push_back(
        {header_value(call, m_fields.request_id), steady_clock::now(), writer.connection()});
    if (auto* const fatal = find_fatal_record(call)) {
        fatal->arrivals.push_back(steady_clock::now());
    }
    const auto expected = header_value(call, m_fields.expected_server);
    const bool is_full = m_in_progress >= m_options.slots + m_options.queue;
    unsigned refused = 0;
    auto fault = backend_fault::none;
    if (!expected.empty() && expected != m_options.id) {
        refused = status_misdirected;
    } else if (is_full || m_fault == backend_fault::refuse || m_fault == backend_fault::refuse_and_repeat) {
        fault = take_fault();
        refused = status_unavailable;
    } else if (draw(m_partial_faults.refused)) {
        refused = status_unavailable;
    }
    if (draw(m_partial_faults.nameless)) {
        send_before_next(writer, {{status_unavailable, {{m_fields.not_executed, "1"}}}, std::string()});
    }
    if (refused != 0) {
        m_arrived_requests[arrival].result =
            refused == status_misdirected ? arrival_result::misdirected : arrival_result::refused;
        const auto answer = refuse(call, refused);
        if (fault == backend_fault::refuse_and_repeat || draw(m_partial_faults.repeated)) {
            send_before_next(writer, answer);
        }
        co_await writer.write(answer);
        co_return;
    }
    ++m_in_progress;
    try {
        co_await run(call, writer);
    } catch (...) {
        --m_in_progress;
        throw;
    }
    --m_in_progress;
}

/// Sends the answer when the next request has arrived on the connection.
void emulated_backend::send_before_next(http::response_writer& writer, const http::response& answer) {
    m_awaiting_next.insert(writer.connection());
    writer.write_before_next(compose(answer));
}

asio::awaitable<void> emulated_backend::run(const http::request& call, http::response_writer& writer) {
    const auto number = m_runs.size();
    m_runs.push_back({header_value(call, m_fields.request_id), call.target, call.body,
                      header_value(call, m_fields.workspace), steady_clock::now(), false});
    const auto fault = take_fault();
    if (fault == backend_fault::hang) {
        co_await writer.wait_for_disconnect();
        writer.abort();
    } else if (fault == backend_fault::garble) {
        co_await writer.write_raw("not a response at all\r\n\r\n", false);
    } else if (fault == backend_fault::endless) {
        co_await run_endless(call, writer, number);
    } else if (m_engine != nullptr &&
               (fault == backend_fault::unframed || fault == backend_fault::unframed_midway ||
                fault == backend_fault::unframed_killed)) {
        co_await run_unframed_stream(call, writer, fault, number);
    } else if (m_engine != nullptr && !is_failure(fault)) {
        co_await run_stream(call, writer, fault, number);
    } else {
        co_await run_plain(call, writer, fault, number);
    }
    m_runs[number].is_finished = true;
}

asio::awaitable<void> emulated_backend::run_plain(const http::request& call, http::response_writer& writer,
                                                  backend_fault fault, std::size_t number) {
    co_await pause(m_timers, std::chrono::duration_cast<steady_clock::duration>(m_options.work * m_slowness));
    const bool ends_unframed = m_crash_rule.is_answered && find_fatal_record(call) != nullptr;
    if (!ends_unframed && apply_crash_rule(call)) {
        writer.abort();
        co_return;
    }
    if (fault == backend_fault::cut_unanswered) {
        writer.abort();
        co_return;
    }
    const auto status = status_of(fault);
    auto answer = http::make_response(status, "application/json",
                                      R"({"run":)" + std::to_string(number) +
                                          std::string(m_options.padding, ' ') + "}");
    std::ranges::move(answer_fields(call, number), std::back_inserter(answer.head.headers));
    if (fault == backend_fault::unsigned_answer) {
        std::erase_if(answer.head.headers,
                      [this](const http::header_field& field) { return field.name == m_fields.signature; });
    }
    if (fault == backend_fault::repeat) {
        send_before_next(writer, answer);
    } else if (fault == backend_fault::unnamed_answer) {
        send_before_next(writer, {{status_ok, {}}, "ok"});
    }
    if (!ends_unframed && is_framed_answer(fault)) {
        co_await writer.write(answer);
        co_return;
    }
    const auto head = compose_head(answer.head);
    const auto length = compose_length(answer.body);
    if (fault == backend_fault::cut_midway || fault == backend_fault::cut_first_event) {
        co_await writer.write_raw(head + length + answer.body.substr(0, 3), false);
    } else if (fault == backend_fault::unframed || ends_unframed) {
        co_await writer.write_raw(head + "Connection: close\r\n\r\n" + answer.body, false);
        apply_crash_rule(call);
    } else {
        co_await writer.write_raw(head + length + answer.body + "HTTP/1.1 200 OK\r\n" + m_fields.request_id +
                                      ": somebody-else\r\nContent-Length: 2\r\n\r\nno",
                                  true);
    }
}

/// Sends all events at once.
asio::awaitable<void> emulated_backend::run_unframed_stream(const http::request& call,
                                                            http::response_writer& writer,
                                                            backend_fault fault, std::size_t number) {
    const auto last = make_engine_request(call).output_tokens;
    const auto first = static_cast<std::uint64_t>(parse_number(header_value(call, m_fields.last_event))) + 1;
    auto fields = answer_fields(call, number);
    fields.push_back({"Content-Type", "text/event-stream"});
    auto text = compose_head({status_ok, fields}) + "Connection: close\r\n\r\n";
    const bool is_cut = fault == backend_fault::unframed_midway;
    const bool is_killed = fault == backend_fault::unframed_killed;
    const auto end = is_cut || is_killed ? first + 1 : last;
    for (auto event = first; event <= end; ++event) {
        text += describe_event(event, m_options.version, m_options.padding);
    }
    constexpr std::size_t cut_bytes = 4;
    text.resize(text.size() - (is_cut ? cut_bytes : 0));
    co_await writer.write_raw(text, is_killed);
    if (is_killed) {
        crash(); // closes the connections, too
    }
}

asio::awaitable<void> emulated_backend::run_endless(const http::request& call, http::response_writer& writer,
                                                    std::size_t number) {
    auto fields = answer_fields(call, number);
    fields.push_back({"Content-Type", m_engine != nullptr ? "text/event-stream" : "application/json"});
    const auto begin = compose_head({status_ok, fields}) + "\r\nid: 1\ndata: ";
    co_await writer.write_raw(begin, true);
    constexpr std::size_t write_size = 64U * 1024;
    const std::string more(write_size, 'x');
    while (!m_is_stopped) {
        co_await writer.write_raw(more, true);
        co_await pause(m_timers, poll_period);
    }
}

engine_request emulated_backend::make_engine_request(const http::request& call) const {
    engine_request request;
    request.id = ++m_engine->last_number;
    const auto tokens = header_value(call, m_fields.tokens);
    const auto comma = tokens.find(',');
    const double prompt = parse_number(tokens);
    request.output_tokens = static_cast<unsigned>(std::max(
        1.0, comma == std::string::npos ? 1.0 : parse_number(std::string_view(tokens).substr(comma + 1))));
    request.prompt.push_back({request.id, std::max(1.0, prompt)});
    return request;
}

asio::awaitable<void> emulated_backend::run_stream(const http::request& call, http::response_writer& writer,
                                                   backend_fault fault, std::size_t number) {
    const auto request = make_engine_request(call);
    const auto id = request.id;
    if (!m_engine->engine.add(request, steady_clock::now())) {
        const auto answer = refuse(call, status_unavailable);
        co_await writer.write(answer);
        co_return;
    }
    check_memory();
    const auto begin_after = parse_number(header_value(call, m_fields.last_event));
    http::response_head head{status_ok, answer_fields(call, number)};
    head.headers.push_back({"Content-Type", "text/event-stream"});
    std::uint64_t event_number = 0;
    bool is_finished = false;
    bool has_broken_off = false;
    const auto is_gone = std::make_shared<bool>(false);
    watch_caller(writer, is_gone);
    try {
        while (!is_finished) {
            co_await pause(m_timers, poll_period);
            if (*is_gone || m_is_stopped) {
                m_engine->engine.cancel(id, steady_clock::now());
                writer.abort();
                break;
            }
            m_engine->advance();
            check_memory();
            auto& made = m_engine->made[id];
            while (!made.empty() && !is_finished) {
                is_finished = made.front().what == engine_event::kind::finished;
                made.pop_front();
                if (is_finished || ++event_number <= begin_after) {
                    continue;
                }
                if (!writer.has_begun() && apply_crash_rule(call)) {
                    break; // the next check of m_is_stopped ends the answer
                }
                if (!writer.has_begun()) {
                    co_await writer.begin(head);
                }
                auto text = describe_event(event_number, m_options.version, m_options.padding);
                const bool breaks_off =
                    (fault == backend_fault::cut_midway && event_number == begin_after + 2) ||
                    (fault == backend_fault::cut_first_event && event_number == begin_after + 1);
                has_broken_off = has_broken_off || breaks_off;
                text.resize(breaks_off ? text.size() / 2 : text.size());
                co_await writer.write_piece(text);
                if (breaks_off) {
                    writer.abort();
                    is_finished = true;
                }
            }
        }
    } catch (...) {
        m_engine->engine.cancel(id, steady_clock::now());
        m_engine->made.erase(id);
        throw;
    }
    m_engine->made.erase(id);
    if (fault == backend_fault::cut_unanswered) {
        writer.abort();
    } else if (is_finished && !has_broken_off && fault != backend_fault::cut_midway) {
        co_await writer.finish();
    }
}

} // namespace borageford::emulator
