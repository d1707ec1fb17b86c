// Makes an HTTP exchange with the platform and converts its failures to store_error.
#include "store/store_call.hpp"

#include "http/client.hpp"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/url/encode.hpp>
#include <boost/url/grammar/charset.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>

#include <memory>
#include <utility>

namespace borageford::store {

namespace asio = boost::asio;

namespace {

constexpr unsigned too_many_requests = 429;
constexpr unsigned service_unavailable = 503;
constexpr unsigned first_server_error = 500;

/// A write may have taken effect although its answer was lost, unless the connection was never established.
effect effect_of_failure(http::exchange_stage stage, call_kind kind) {
    if (kind == call_kind::read || stage == http::exchange_stage::connecting) {
        return effect::none;
    }
    return effect::unknown;
}

std::string describe(const http::request& call, std::string_view problem) {
    std::string text = "platform: " + call.method + " ";
    text.append(http::path_of(call.target)).append(": ").append(problem);
    return text;
}

/// Makes the exchange on its strand.
asio::awaitable<http::response> run_exchange(std::shared_ptr<http::client_exchange> exchange,
                                             asio::ip::tcp::endpoint address, const http::request& call) {
    co_return co_await http::fetch(*exchange, address, call);
}

/// Waits for the exchange, and cancels it if the calling coroutine is cancelled.
///
/// The cancellation is passed to the exchange by hand. Asio (1.24) would pass it on as a pointer to a signal
/// that the end of the exchange destroys. If the end was already queued, the pointer was used after that, and
/// the process ended with a segmentation fault.
asio::awaitable<http::response> wait_for_exchange(asio::any_io_executor strand,
                                                  std::shared_ptr<http::client_exchange> exchange,
                                                  asio::ip::tcp::endpoint address,
                                                  const http::request& call) {
    auto slot = (co_await asio::this_coro::cancellation_state).slot();
    if (slot.is_connected()) {
        slot.assign([strand, exchange](asio::cancellation_type) {
            asio::post(strand, [exchange] { exchange->cancel(); });
        });
    }
    const asio::cancellation_slot passed_on_by_hand;
    co_return co_await asio::co_spawn(strand, run_exchange(exchange, address, call),
                                      asio::bind_cancellation_slot(passed_on_by_hand, asio::use_awaitable));
}

} // namespace

asio::awaitable<http::response> call_store(asio::any_io_executor executor, asio::ip::tcp::endpoint address,
                                           std::chrono::milliseconds timeout, http::request call,
                                           call_kind kind, std::size_t body_limit) {
    auto limits = http::exchange_limits::for_step(timeout);
    limits.body_limit = body_limit;
    http::response answer;
    try {
        // The timeouts of the stream run on its executor. The strand keeps them from running concurrently
        // with the stream's reads.
        const asio::any_io_executor strand = asio::make_strand(executor);
        const auto exchange = std::make_shared<http::client_exchange>(strand, limits);
        answer = co_await wait_for_exchange(strand, exchange, address, call);
    } catch (const http::exchange_error& error) {
        throw store_error(effect_of_failure(error.stage(), kind), describe(call, error.what()));
    }
    const auto status = answer.head.status;
    if (status == too_many_requests) {
        throw store_error(effect::none, describe(call, "over the platform's rate"));
    }
    if (status == service_unavailable) {
        throw store_error(effect::none, describe(call, "out of service"));
    }
    if (status >= first_server_error) {
        throw_unexpected_status(call.method + " " + call.target, status, kind);
    }
    co_return answer;
}

void throw_unexpected_status(std::string_view call, unsigned status, call_kind kind) {
    const auto possible =
        kind == call_kind::write && status >= first_server_error ? effect::unknown : effect::none;
    throw store_error(possible, "platform: " + std::string(call) + " was answered " + std::to_string(status));
}

std::string encode_for_target(std::string_view text) {
    constexpr auto kept = boost::urls::unreserved_chars + '/';
    return boost::urls::encode(text, kept);
}

} // namespace borageford::store
