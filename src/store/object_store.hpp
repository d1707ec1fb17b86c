// The platform's object store.
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

struct object_entry {
    std::string key;
    std::uint64_t size = 0; ///< bytes
};

/// One HTTP exchange a call. Every call throws store_error when the platform doesn't answer it.
class object_store {
public:
    object_store(boost::asio::any_io_executor executor, boost::asio::ip::tcp::endpoint address,
                 std::chrono::milliseconds timeout);

    /// Idempotent: the same key and bytes may be put again after a lost answer.
    boost::asio::awaitable<void> put(std::string_view key, std::string bytes);
    boost::asio::awaitable<std::optional<std::string>> get(std::string_view key);
    boost::asio::awaitable<std::vector<object_entry>> list(std::string_view prefix, std::string_view after,
                                                           std::size_t limit);

private:
    boost::asio::any_io_executor m_executor;
    boost::asio::ip::tcp::endpoint m_address;
    std::chrono::milliseconds m_timeout;
};

} // namespace borageford::store
