// Implements a blocking call with the asynchronous HTTP client.
#include "program/entry_client.hpp"

#include "http/client.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/url/encode.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace borageford::program {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

/// The most time until the response's head arrives, in addition to the time that the flag `wait` lets the
/// entry wait.
constexpr milliseconds answer_limit{30'000};
constexpr unsigned char first_unprintable = 0x7f; ///< the first code after the printable ASCII characters

/// The address from the flag `entry`. Throws usage_error when it is missing or malformed.
http::endpoint entry_address(const command_flags& flags) {
    if (flags.entry.empty()) {
        throw usage_error("--entry IP:PORT (or BORAGEFORD_ENTRY) is required");
    }
    try {
        return http::parse_endpoint(flags.entry);
    } catch (const std::invalid_argument& error) {
        throw usage_error(std::string("--entry: ") + error.what());
    }
}

} // namespace

std::string encode_for_target(const std::string& text) {
    return boost::urls::encode(text, boost::urls::unreserved_chars);
}

http::response call_entry(const command_flags& flags, const std::string& method, const std::string& target,
                          const std::string& body) {
    if (flags.token.empty()) {
        throw usage_error("--token-file FILE (or BORAGEFORD_TOKEN) is required");
    }
    const bool is_usable =
        std::ranges::all_of(flags.token, [](unsigned char c) { return c >= ' ' && c < first_unprintable; });
    if (!is_usable) {
        throw usage_error("the token must be one line of printable characters");
    }
    const auto address = entry_address(flags);
    http::request call{method, target, {{"Authorization", "Bearer " + flags.token}}, body};
    if (!flags.operator_name.empty()) {
        call.headers.push_back({"X-Operator", flags.operator_name});
    }
    http::exchange_limits limits;
    limits.head = answer_limit + flags.wait.value_or(milliseconds(0));
    asio::io_context context;
    auto answer =
        asio::co_spawn(context, http::fetch(context.get_executor(), address, call, limits), asio::use_future);
    context.run();
    try {
        return answer.get();
    } catch (const http::exchange_error& error) {
        throw entry_error("entry " + flags.entry + ": " + error.what(),
                          error.stage() != http::exchange_stage::connecting);
    }
}

} // namespace borageford::program
