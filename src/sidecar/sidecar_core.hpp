// Routes what entries say to the parts that decide about it, and keeps the sidecar's configuration, limits
// and ticks going.
#pragma once

#include "backend/backend_server.hpp"
#include "sidecar/cache_follower.hpp"
#include "sidecar/dispatch_manager.hpp"
#include "sidecar/offer_scheduler.hpp"
#include "sidecar/order_controller.hpp"
#include "sidecar/sidecar_context.hpp"

#include <functional>
#include <memory>

namespace borageford::sidecar {

/// Used on the strand.
class sidecar_core {
public:
    sidecar_core(sidecar_context& context, backend::backend_server& server,
                 const identifier& own_incarnation);

    void start();

    void receive(connection_id connection, wire::envelope received);
    void drop_connection(connection_id connection);
    /// A newer configuration is in force.
    void follow_configuration();
    void backend_came_up();
    void backend_went_down();

    /// Takes no new work from now on. `done` is called when everything that runs has ended and its answers
    /// have been acknowledged or given up.
    void leave(std::function<void()> done);

    /// Gives no more orders; the lease is free for whoever comes next.
    boost::asio::awaitable<void> stop_orders() { return m_orders.stop(); }

    [[nodiscard]] bool is_leaving() const noexcept { return m_is_leaving; }
    [[nodiscard]] std::unique_ptr<wire::load_report_message> make_load_report() const;

private:
    void handle(connection_id connection, wire::message content);
    void follow_revision(connection_id connection, std::uint64_t peer_revision);
    void send_configuration(connection_id connection);
    void tick();
    void notice_freeze();
    boost::asio::awaitable<void> verify_revision(std::uint64_t verification);
    void finish_verification(std::uint64_t verification);
    void finish_leaving();

    sidecar_context& m_context;
    dispatch_manager m_dispatches;
    offer_scheduler m_offers;
    order_controller m_orders;
    cache_follower m_cache;
    timer_subscription m_tick;
    time_point m_last_seen = std::chrono::steady_clock::now();
    std::uint64_t m_verification = 0;   ///< counts the freezes
    std::uint64_t m_verified = 0;       ///< the last of them after which the revision was verified
    std::uint64_t m_asked_revision = 0; ///< the newest that a peer was asked for
    time_point m_asked_at{};
    bool m_is_leaving = false;
    std::function<void()> m_left;
};

} // namespace borageford::sidecar
