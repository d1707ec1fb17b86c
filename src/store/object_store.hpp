// Client of the platform's object store.
#pragma once

#include "store/store_error.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace borageford::store {

/// An object as it appears in a list of objects.
struct object_entry {
    std::string key;
    std::uint64_t size = 0; ///< bytes
};

/// Each function makes one HTTP exchange and throws store_error when that fails or the platform refuses the
/// call.
class object_store {
public:
    object_store(boost::asio::any_io_executor executor, boost::asio::ip::tcp::endpoint address,
                 std::chrono::milliseconds timeout);

    /// Stores an object. Idempotent: after a lost answer the same key and bytes can be put again.
    boost::asio::awaitable<void> put(std::string_view key, std::string bytes);
    /// Returns the bytes of an object; nothing when there is no such object.
    boost::asio::awaitable<std::optional<std::string>> get(std::string_view key);
    /// Returns up to `limit` objects whose keys start with `prefix` and come after `after`.
    boost::asio::awaitable<std::vector<object_entry>> list(std::string_view prefix, std::string_view after,
                                                           std::size_t limit);

private:
    boost::asio::any_io_executor m_executor;
    boost::asio::ip::tcp::endpoint m_address;
    std::chrono::milliseconds m_timeout;
};

} // namespace borageford::store
