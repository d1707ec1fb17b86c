// Lists requests that were running when a backend server crashed (each such crash adds a mark to the
// request's row in the table), and releases them on an operator's order.
#pragma once

#include "store/table.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace borageford::admin {

/// A request with at least one crash mark. Requests with marks from two or more backend servers are refused.
struct marked_request {
    std::string fingerprint;                  ///< hash of the request, 16 hexadecimal digits
    std::vector<std::string> backend_servers; ///< servers that crashed while the request was running
    std::int64_t last_time = 0;               ///< time of the latest crash, milliseconds since 1970
};

/// Returns all requests that have marks. Throws store::store_error.
boost::asio::awaitable<std::vector<marked_request>> list_marked_requests(store::table& table);

/// Deletes the marks of the request with this fingerprint, so that it may run again. Returns false if it has
/// none. Throws store::store_error.
boost::asio::awaitable<bool> release_request(store::table& table, std::string fingerprint);

} // namespace borageford::admin
