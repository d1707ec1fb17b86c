// Records the state of roll-outs in the store, where operators and the next coordinator read it.
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

/// A final state that stands in the store for the same version is never replaced, even if several processes
/// write: each write is conditional on the version of the row that was read before. If the answer to a write
/// is lost, the row is read again to find out whether the write took effect.
class rollout_recorder {
public:
    using status_listener = std::function<void(const routing::rollout_status&)>;

    /// `on_known` receives the state that stands in the store after each successful record().
    rollout_recorder(boost::asio::any_io_executor executor, timer_service& timers, store::table& table,
                     const deployment& current_deployment, status_listener on_known);

    /// Retries until the state or a final state of the same roll-out stands in the store, or until record()
    /// is called again for the same service.
    void record(const routing::rollout_status& status);

private:
    boost::asio::awaitable<void> run(routing::rollout_status wanted, std::uint64_t number);
    boost::asio::awaitable<bool> try_once(const routing::rollout_status& wanted, std::uint64_t number);
    [[nodiscard]] bool is_latest(const std::string& service, std::uint64_t number) const;

    boost::asio::any_io_executor m_executor;
    timer_service& m_timers;
    store::table& m_table;
    const deployment& m_deployment;
    status_listener m_on_known;
    std::map<std::string, std::uint64_t> m_latest; ///< Sequence number of the last record() by service name.
};

} // namespace borageford::gateway
