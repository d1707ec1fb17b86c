// The platform's transactional table, in the format that the deployment speaks.
#pragma once

#include "store/deployed_format.hpp"
#include "store/native_format.hpp"
#include "store/row.hpp"
#include "store/store_error.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace borageford::store {

using table_format = std::variant<native_format, deployed_format>;

/// One HTTP exchange a call. Every call throws store_error when the store doesn't answer it.
class table {
public:
    table(boost::asio::any_io_executor executor, boost::asio::ip::tcp::endpoint address,
          std::chrono::milliseconds timeout, table_format format = native_format());

    boost::asio::awaitable<transaction_result> transact(const transaction& changes);
    /// Nothing when there is no such row. May be stale.
    boost::asio::awaitable<std::optional<row>> read(std::string_view key);
    /// Up to `limit` rows whose keys start with `prefix`, from after `after` on. May be stale.
    boost::asio::awaitable<std::vector<row>> scan(std::string_view prefix, std::string_view after,
                                                  std::size_t limit);

    /// All rows whose keys start with `prefix`, page after page, and the position and the store's clock of
    /// the first page. Throws store_error when the store begins a new era between two pages.
    boost::asio::awaitable<row_page> read_all(std::string prefix);

    /// What changed in the rows "TABLE/..." after a version; waits up to `wait` for a first change. Nothing
    /// when that history is gone and everything has to be read again. Throws store_error for a format that
    /// can't tell changes.
    boost::asio::awaitable<std::optional<change_page>> changes(std::string table_name, std::uint64_t after,
                                                               std::chrono::milliseconds wait);

private:
    boost::asio::any_io_executor m_executor;
    boost::asio::ip::tcp::endpoint m_address;
    std::chrono::milliseconds m_timeout;
    table_format m_format;
};

} // namespace borageford::store
