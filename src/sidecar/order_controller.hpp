// Brings the engine to what the configuration wants: compares, orders, reads back, and repeats until they
// agree.
#pragma once

#include "backend/backend_server.hpp"
#include "sidecar/fencing_lease.hpp"
#include "sidecar/sidecar_context.hpp"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <vector>

namespace borageford::sidecar {

/// Used on the strand. Invariant: one comparison runs at a time; no order is sent unless the lease outlasts
/// the order's own time limit.
class order_controller {
public:
    /// `models_changed` is called when the engine has said what it has loaded.
    order_controller(sidecar_context& context, backend::backend_server& server, identifier incarnation,
                     std::function<void()> models_changed);

    void start();
    /// Gives no more orders, and releases the lease.
    boost::asio::awaitable<void> stop();

    /// Compares now, unless a comparison runs: the engine or the configuration has changed.
    void compare_soon();

private:
    boost::asio::awaitable<void> compare();
    boost::asio::awaitable<void> compare_once();
    boost::asio::awaitable<void> give(std::vector<backend::order> orders, bool is_checked);
    boost::asio::awaitable<bool> hold_lease(bool is_checked);
    boost::asio::awaitable<void> pause(policy::duration time);
    boost::asio::awaitable<backend::engine_state> read_state();

    sidecar_context& m_context;
    backend::backend_server& m_server;
    std::function<void()> m_models_changed;
    fencing_lease m_lease;
    timer_subscription m_timer;
    bool m_is_comparing = false;
    bool m_is_stopped = false;
    bool m_is_settled = false;         ///< the engine was as wanted at the last comparison
    policy::time_point m_not_before{}; ///< after a failed order
    policy::duration m_backoff{};
};

} // namespace borageford::sidecar
