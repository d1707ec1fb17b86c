// Makes an HTTP exchange with the platform and converts its failures to store_error.
#include "store/store_call.hpp"

#include "http/client.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/url/encode.hpp>
#include <boost/url/grammar/charset.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>

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

} // namespace

asio::awaitable<http::response> call_store(asio::any_io_executor executor, asio::ip::tcp::endpoint address,
                                           std::chrono::milliseconds timeout, http::request call,
                                           call_kind kind) {
    http::exchange_limits limits;
    limits.connect = timeout;
    limits.head = timeout;
    limits.idle = timeout;
    http::response answer;
    try {
        // The timeouts of the stream run on its executor. The strand keeps them from running concurrently
        // with the stream's reads.
        const asio::any_io_executor strand = asio::make_strand(executor);
        answer =
            co_await asio::co_spawn(strand, http::fetch(strand, address, call, limits), asio::use_awaitable);
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
