// Finds the records of a request among the batches of thousands of writers.
#pragma once

#include "audit/batch_key.hpp"
#include "audit/findings.hpp"
#include "store/object_store.hpp"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace borageford::audit {

struct explainer_limits {
    /// A record is in a batch that was closed at most this much later; the recorders' flush period with room.
    std::chrono::seconds batch_delay{60};
    /// Clocks of VMs differ by no more.
    std::chrono::seconds clock_difference{10};
    /// A request is followed for no longer.
    std::chrono::minutes request_time{30};
    /// Objects read for one question. Past it the answer says what wasn't read.
    std::size_t object_limit = 8000;
};

/// Reads only. Each question's cost is worked out in docs/design/audit.md.
class explainer {
public:
    using clock_reader = std::function<std::chrono::system_clock::time_point()>;

    explainer(
        store::object_store& store, explainer_limits limits,
        clock_reader now = [] { return std::chrono::system_clock::now(); });

    /// What entry and sidecars recorded of the request. Throws store_error while the store is out.
    [[nodiscard]] boost::asio::awaitable<findings> find_request(request_id request);

    /// What entries recorded between two moments about the workspace's requests (empty: all).
    [[nodiscard]] boost::asio::awaitable<findings> find_workspace(std::string workspace,
                                                                  std::chrono::system_clock::time_point from,
                                                                  std::chrono::system_clock::time_point to);

private:
    class search;

    boost::asio::awaitable<void> read_entry(search& looked, request_id request, minute_point last);
    boost::asio::awaitable<void> read_named_sidecars(search& looked, request_id request, minute_point last);
    boost::asio::awaitable<void> read_all_sidecars(search& looked, request_id request, minute_point last);
    void remark_if_recent(search& looked, std::chrono::system_clock::time_point last,
                          std::chrono::system_clock::time_point now) const;

    store::object_store& m_store;
    explainer_limits m_limits;
    clock_reader m_now;
};

} // namespace borageford::audit
