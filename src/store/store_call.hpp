// One HTTP exchange with the platform. Its failures are classified by whether a write may have taken effect.
#pragma once

#include "http/message.hpp"
#include "store/store_error.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace borageford::store {

/// Whether a call can change data on the platform.
enum class call_kind : std::uint8_t { read, write };

/// Sends the request and returns the platform's answer with any status except 429 and 5xx. Throws
/// store_error for these statuses and for failed exchanges; its effect is unknown for a write that may have
/// reached the platform.
boost::asio::awaitable<http::response> call_store(boost::asio::any_io_executor executor,
                                                  boost::asio::ip::tcp::endpoint address,
                                                  std::chrono::milliseconds timeout, http::request call,
                                                  call_kind kind);

/// Throws store_error for an answer whose status the call doesn't expect. `call` names the call in the
/// message.
[[noreturn]] void throw_unexpected_status(std::string_view call, unsigned status, call_kind kind);

/// Percent-encodes a value for the query or the path of a target. "/" isn't encoded.
[[nodiscard]] std::string encode_for_target(std::string_view text);

} // namespace borageford::store
