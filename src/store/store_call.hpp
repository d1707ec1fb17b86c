// One HTTP exchange with the platform, with its failures told apart by what they mean for the caller.
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

/// Whether a call can change what the platform holds.
enum class call_kind : std::uint8_t { read, write };

/// Sends the request and returns the platform's answer, whatever its status but 429 and 5xx.
/// Throws store_error; for a write that may have reached the platform its effect is unknown.
boost::asio::awaitable<http::response> call_store(boost::asio::any_io_executor executor,
                                                  boost::asio::ip::tcp::endpoint address,
                                                  std::chrono::milliseconds timeout, http::request call,
                                                  call_kind kind);

/// Fails with what the platform answered, for a status that the call doesn't expect.
[[noreturn]] void refuse_answer(std::string_view call, unsigned status, call_kind kind);

/// Encodes a value for a query or a path segment; "/" stays as it is.
[[nodiscard]] std::string encode_for_target(std::string_view text);

} // namespace borageford::store
