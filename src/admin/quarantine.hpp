// The requests that were running when backend servers died, as their rows at the table say, and their
// release by an operator.
#pragma once

#include "store/table.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace borageford::admin {

/// A marked request. It is refused once backend servers died under it more than once.
struct marked_request {
    std::string fingerprint; ///< 16 hexadecimal digits
    std::vector<std::string> backend_servers;
    std::int64_t last_time = 0; ///< milliseconds since 1970
};

/// Every marked request. Throws store::store_error.
boost::asio::awaitable<std::vector<marked_request>> list_marked_requests(store::table& table);

/// Removes its marks, so that it may run again. False when there were none.
boost::asio::awaitable<bool> release_request(store::table& table, std::string fingerprint);

} // namespace borageford::admin
