// One HTTP exchange with the platform. Its failures are classified by whether a write may have taken effect.
#pragma once

#include "http/message.hpp"
#include "store/store_error.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace borageford::store {

/// Whether a call can change data on the platform.
enum class call_kind : std::uint8_t { read, write };

/// Largest answer with rows in bytes, several times what the platform puts into one.
inline constexpr std::size_t max_rows_bytes = 16U * 1024 * 1024;
/// Largest object in bytes.
inline constexpr std::size_t max_object_bytes = 64U * 1024 * 1024;

/// Sends the request and returns the platform's answer with any status except 429 and 5xx. Throws
/// store_error for these statuses and for failed exchanges; its effect is unknown for a write that may have
/// reached the platform. A body that is larger than `body_limit`, or takes several times as long as
/// `timeout`, counts as a failed exchange.
boost::asio::awaitable<http::response> call_store(boost::asio::any_io_executor executor,
                                                  boost::asio::ip::tcp::endpoint address,
                                                  std::chrono::milliseconds timeout, http::request call,
                                                  call_kind kind, std::size_t body_limit = max_rows_bytes);

/// Throws store_error for an answer whose status the call doesn't expect. `call` names the call in the
/// message.
[[noreturn]] void throw_unexpected_status(std::string_view call, unsigned status, call_kind kind);

/// Percent-encodes a value for the query or the path of a target. "/" isn't encoded.
[[nodiscard]] std::string encode_for_target(std::string_view text);

} // namespace borageford::store
