// Brings the engine to its configured state: compares the reported state with the configuration, gives an
// order, and repeats this until the two agree.
#pragma once

#include "backend/backend_server.hpp"
#include "sidecar/fencing_lease.hpp"
#include "sidecar/sidecar_context.hpp"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <vector>

namespace borageford::sidecar {

/// Gives orders to the engine. Used on sidecar_context::strand only. Invariants: at most one comparison runs
/// at a time; an order is sent only if the lease lasts longer than the order's own timeout.
class order_controller {
public:
    /// `models_changed` is called whenever the engine has reported its loaded models.
    order_controller(sidecar_context& context, backend::backend_server& server, identifier incarnation,
                     std::function<void()> models_changed);

    /// Compares now and then once every `order_period`.
    void start();
    /// Stops giving orders and releases the lease.
    boost::asio::awaitable<void> stop();

    /// Starts a comparison unless one is running. To be called when the engine or the configuration has
    /// changed. Does nothing while the engine is down or an earlier failure delays the next comparison.
    void compare_soon();

private:
    boost::asio::awaitable<void> compare();
    boost::asio::awaitable<void> compare_once();
    boost::asio::awaitable<void> give_first(std::vector<backend::order> orders, bool checks_fencing);
    boost::asio::awaitable<bool> ensure_lease(bool checks_fencing);
    boost::asio::awaitable<void> pause(policy::duration time);
    boost::asio::awaitable<backend::engine_state> read_state();

    sidecar_context& m_context;
    backend::backend_server& m_server;
    std::function<void()> m_models_changed;
    fencing_lease m_lease;
    timer_subscription m_timer;
    bool m_is_comparing = false;
    bool m_is_stopped = false;
    bool m_is_settled = false;         ///< the engine was in the configured state at the last comparison
    policy::time_point m_not_before{}; ///< no comparison before this time, after a failure
    policy::duration m_backoff{};      ///< delay after the last failure; doubled by each failure in a row
};

} // namespace borageford::sidecar
