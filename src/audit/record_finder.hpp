// Finds the audit records of a request among the batches that thousands of processes wrote to the object
// store.
#pragma once

#include "audit/batch_key.hpp"
#include "audit/search_result.hpp"
#include "store/object_store.hpp"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace borageford::audit {

struct record_finder_limits {
    /// Maximum time between a record and the closing of its batch: recorder_settings::flush_period with a
    /// margin.
    std::chrono::seconds batch_delay{60};
    /// Maximum difference between the clocks of two VMs.
    std::chrono::seconds clock_difference{10};
    /// Maximum time after the start of a request for which its records are searched.
    std::chrono::minutes request_time{30};
    /// Maximum number of batches read by one search. Above it, a remark says that batches weren't read.
    std::size_t object_limit = 8000;
};

/// Searches the audit records. It only reads from the store. docs/design/audit.md has the cost of each
/// search.
class record_finder {
public:
    using clock_reader = std::function<std::chrono::system_clock::time_point()>;

    record_finder(
        store::object_store& store, record_finder_limits limits,
        clock_reader now = [] { return std::chrono::system_clock::now(); });

    /// Finds what entries and sidecars recorded about the request. Throws store::store_error if the object
    /// store doesn't answer.
    [[nodiscard]] boost::asio::awaitable<search_result> find_request(request_id request);

    /// Finds what entries recorded from `from` to `to` about the requests of the workspace; an empty name
    /// means all workspaces. Throws store::store_error if the object store doesn't answer.
    [[nodiscard]] boost::asio::awaitable<search_result>
    find_workspace(std::string workspace, std::chrono::system_clock::time_point from,
                   std::chrono::system_clock::time_point to);

private:
    class search;

    boost::asio::awaitable<void> read_entry(search& current_search, request_id request, minute_point last);
    boost::asio::awaitable<void> read_named_sidecars(search& current_search, request_id request,
                                                     minute_point last);
    boost::asio::awaitable<void> read_all_sidecars(search& current_search, request_id request,
                                                   minute_point last);
    /// Adds a remark if records up to the time `last` may not have been written yet at the time `now`.
    void add_remark_if_recent(search& current_search, std::chrono::system_clock::time_point last,
                              std::chrono::system_clock::time_point now) const;

    store::object_store& m_store;
    record_finder_limits m_limits;
    clock_reader m_now;
};

} // namespace borageford::audit
