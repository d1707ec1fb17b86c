// The platform's transactional table, as docs/INTERFACES.md describes it.
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

struct row {
    std::string key;
    std::string value;
    std::uint64_t version = 0;
};

/// The row must have this version when the transaction commits; 0: there must be no such row.
struct condition {
    std::string key;
    std::uint64_t version = 0;
};

struct put {
    std::string key;
    std::string value;
};

/// All or nothing.
struct transaction {
    std::vector<condition> conditions;
    std::vector<put> puts;
    std::vector<std::string> deletes;
};

struct transaction_result {
    bool committed = false;
    std::uint64_t version = 0;            ///< of every row put, when committed
    std::vector<std::string> failed_keys; ///< whose conditions didn't hold, otherwise
};

/// One HTTP exchange a call. Every call throws store_error when the platform doesn't answer it.
class table {
public:
    table(boost::asio::any_io_executor executor, boost::asio::ip::tcp::endpoint address,
          std::chrono::milliseconds timeout);

    boost::asio::awaitable<transaction_result> transact(const transaction& changes);
    /// Nothing when there is no such row. May be stale.
    boost::asio::awaitable<std::optional<row>> read(std::string_view key);
    /// Up to `limit` rows whose keys start with `prefix`, from after `after` on. May be stale.
    boost::asio::awaitable<std::vector<row>> scan(std::string_view prefix, std::string_view after,
                                                  std::size_t limit);

private:
    boost::asio::any_io_executor m_executor;
    boost::asio::ip::tcp::endpoint m_address;
    std::chrono::milliseconds m_timeout;
};

} // namespace borageford::store
