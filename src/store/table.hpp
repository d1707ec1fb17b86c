// Client of the store, which is the transactional key-value store that the platform provides, for the format
// that the deployment uses. The class `table` stands for all rows of the store. The argument `table_name` and
// comments such as "the table of backend servers" mean a part of them: all rows whose keys start with
// "TABLE/".
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

/// Each function makes one HTTP exchange (read_all() one for each page) and throws store_error when that
/// fails or the store refuses the call.
class table {
public:
    table(boost::asio::any_io_executor executor, boost::asio::ip::tcp::endpoint address,
          std::chrono::milliseconds timeout, table_format format = native_format());

    /// Commits the changes if all conditions of the transaction hold.
    boost::asio::awaitable<transaction_result> transact(const transaction& changes);
    /// Returns a row; nothing when there is no such row. The answer may be stale.
    boost::asio::awaitable<std::optional<row>> read(std::string_view key);
    /// Returns up to `limit` rows whose keys start with `prefix` and come after `after`. The answer may be
    /// stale.
    boost::asio::awaitable<std::vector<row>> scan(std::string_view prefix, std::string_view after,
                                                  std::size_t limit);

    /// Reads all rows whose keys start with `prefix`, page after page. The result has the position and the
    /// store time of the first page. Throws store_error when the store is restored from an older copy
    /// between two pages.
    boost::asio::awaitable<row_page> read_all(std::string prefix);

    /// Returns the changes of the rows "TABLE/..." after a version. The store holds the call open until
    /// there is a change, for up to `wait`. Returns nothing when the store no longer has these changes, so
    /// that all rows have to be read again. Throws store_error for a format that has no such call.
    boost::asio::awaitable<std::optional<change_page>> changes(std::string table_name, std::uint64_t after,
                                                               std::chrono::milliseconds wait);

private:
    boost::asio::any_io_executor m_executor;
    boost::asio::ip::tcp::endpoint m_address;
    std::chrono::milliseconds m_timeout;
    table_format m_format;
};

} // namespace borageford::store
