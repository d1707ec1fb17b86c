// Writes what becomes of roll-outs into the store, where operators read it and the next coordinator finds it.
#pragma once

#include "base/timer_service.hpp"
#include "gateway/deployment.hpp"
#include "routing/rollout_order.hpp"
#include "store/table.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace borageford::gateway {

/// A final state that stands in the store for the same version is never replaced, whoever else writes: each
/// write names the version of the row that it was decided by, and one whose answer was lost is settled by
/// reading again.
class rollout_recorder {
public:
    using status_listener = std::function<void(const routing::rollout_status&)>;

    rollout_recorder(boost::asio::any_io_executor executor, timer_service& timers, store::table& table,
                     const deployment& speech, status_listener on_known);

    /// Tries until the state stands there, or a final one does, or another is to be recorded for the service.
    void record(const routing::rollout_status& status);

private:
    boost::asio::awaitable<void> run(routing::rollout_status wanted, std::uint64_t number);
    boost::asio::awaitable<bool> try_once(const routing::rollout_status& wanted, std::uint64_t number);
    [[nodiscard]] bool is_latest(const std::string& service, std::uint64_t number) const;

    boost::asio::any_io_executor m_executor;
    timer_service& m_timers;
    store::table& m_table;
    const deployment& m_speech;
    status_listener m_on_known;
    std::map<std::string, std::uint64_t> m_latest; ///< number of the last record() for each service
};

} // namespace borageford::gateway
