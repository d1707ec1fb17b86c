// Builds a caller's HTTP request, runs the exchange with the entry and classifies the way in which it ended.
#include "load/caller.hpp"

#include "load/event_reader.hpp"
#include "support/answer_text.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <optional>

namespace borageford::test {

namespace asio = boost::asio;
using std::chrono::steady_clock;

namespace {

constexpr unsigned max_resends = 6; ///< after the first attempt
/// Pause before the next attempt.
constexpr std::chrono::milliseconds resend_pause{250};
constexpr unsigned status_ok = 200;
/// A request that is planned to lose its connection closes it after this number of tokens.
constexpr std::size_t tokens_before_loss = 4;

double milliseconds_since(steady_clock::time_point begin, steady_clock::time_point end) {
    return std::chrono::duration<double, std::milli>(end - begin).count();
}

http::request make_request(const caller_options& options, const planned_request& planned,
                           std::uint64_t number) {
    http::request call;
    call.method = "POST";
    call.target = "/v1/chat/completions";
    call.body = planned.body;
    call.headers.push_back({"Content-Type", "application/json"});
    if (options.is_direct) {
        call.headers.push_back({"X-Request-Id", std::to_string(number)});
        return call;
    }
    const auto workspace = "workspace-" + std::to_string(planned.workspace);
    call.headers.push_back({"Authorization", "Bearer " + options.key_prefix + workspace});
    call.headers.push_back({"X-Tier", "tier-" + std::to_string(planned.tier)});
    call.headers.push_back({"X-Deadline", options.deadline});
    call.headers.push_back(
        {"Idempotency-Key", "request-" + std::to_string(options.key_seed) + "-" + std::to_string(number)});
    return call;
}

/// The error code in the body of an error response, or "none".
std::string find_error_code(std::string_view body) {
    constexpr std::string_view key = R"("code":")";
    const auto found = body.find(key);
    if (found == std::string_view::npos) {
        return "none";
    }
    const auto begin = found + key.size();
    return std::string(body.substr(begin, body.find('"', begin) - begin));
}

/// Whether the body of an error response states that the request didn't run.
bool is_not_run(std::string_view body) {
    return body.find(R"("ran":"no")") != std::string_view::npos;
}

/// Reads the answer to its end and fills `result`. With `loses_connection`, returns false after a few tokens:
/// the caller drops the connection on purpose and has to send the request again. Throws http::exchange_error
/// when the connection breaks.
asio::awaitable<bool> read_answer(http::client_exchange& exchange, const http::response_head& head,
                                  const planned_request& planned, steady_clock::time_point arrival,
                                  bool loses_connection, call_result& result) {
    event_reader events;
    std::string body;
    result.status = head.status;
    while (true) {
        const auto piece = co_await exchange.read_some();
        const auto now = steady_clock::now();
        if (piece.empty()) {
            break;
        }
        body += piece;
        events.add(piece, now);
        if (loses_connection && events.tokens() >= tokens_before_loss) {
            co_return false;
        }
    }
    result.total_ms = milliseconds_since(arrival, steady_clock::now());
    if (head.status != status_ok || events.has_error()) {
        result.kind = find_error_code(body);
        result.outcome = is_not_run(body) ? call_outcome::refused : call_outcome::failed;
        const auto retry = http::find_header(head.headers, "Retry-After");
        result.retry_after_s = retry ? std::stod(std::string(*retry)) : 0;
        co_return true;
    }
    const bool is_own = events.text() == answer_text(fingerprint_of(planned.body), planned.output_tokens);
    result.outcome = events.has_ended() && is_own ? call_outcome::complete : call_outcome::wrong;
    if (events.tokens() > 0) {
        result.first_token_ms = milliseconds_since(arrival, events.first_token());
        result.gap_percentile_ms = events.gap_percentile();
    }
    co_return true;
}

} // namespace

asio::awaitable<call_result> run_call(asio::any_io_executor executor, const caller_options& options,
                                      const planned_request& planned, std::uint64_t number,
                                      steady_clock::time_point arrival) {
    const auto call = make_request(options, planned, number);
    call_result result;
    for (unsigned attempt = 0; attempt <= max_resends; ++attempt) {
        result.resends = attempt;
        const auto& entry = options.entries.at((planned.entry + attempt) % options.entries.size());
        bool is_answered = false;
        try {
            http::client_exchange exchange(executor, {});
            const auto head = co_await exchange.send(entry, call);
            const bool drops_connection = planned.loses_connection && attempt == 0;
            is_answered = co_await read_answer(exchange, head, planned, arrival, drops_connection, result);
        } catch (const http::exchange_error&) {
            is_answered = false;
        }
        if (is_answered) {
            co_return result;
        }
        asio::steady_timer pause(executor, resend_pause);
        co_await pause.async_wait(asio::use_awaitable);
    }
    result.outcome = call_outcome::lost;
    result.total_ms = milliseconds_since(arrival, steady_clock::now());
    co_return result;
}

} // namespace borageford::test
