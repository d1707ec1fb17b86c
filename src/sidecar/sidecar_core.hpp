// Passes messages from entry processes to the parts of the sidecar that handle them, reacts to new
// configurations and to the backend server going up or down, and runs the periodic work.
#pragma once

#include "backend/backend_server.hpp"
#include "sidecar/cache_event_poller.hpp"
#include "sidecar/dispatch_manager.hpp"
#include "sidecar/offer_scheduler.hpp"
#include "sidecar/order_controller.hpp"
#include "sidecar/sidecar_context.hpp"

#include <functional>
#include <memory>

namespace borageford::sidecar {

/// The logic of a sidecar, without its sockets and settings. Used on sidecar_context::strand only.
class sidecar_core {
public:
    sidecar_core(sidecar_context& context, backend::backend_server& server,
                 const identifier& own_incarnation);

    /// Starts the periodic work and the comparison of the engine with the configuration.
    void start();

    /// Handles a message of an entry.
    void receive(connection_id connection, wire::envelope received);
    /// Handles the end of an entry's connection.
    void drop_connection(connection_id connection);
    /// To be called when a newer configuration is in force.
    void apply_configuration();
    /// To be called by the backend_monitor.
    void backend_came_up();
    void backend_went_down();

    /// Starts the graceful stop: refuses new work from now on and informs the entries. `done` is called when
    /// all running dispatches have ended and each complete answer was acknowledged or is older than
    /// `resend_grace`.
    void shut_down(std::function<void()> done);

    /// Stops giving orders to the engine and releases the fencing lease.
    boost::asio::awaitable<void> stop_orders() { return m_orders.stop(); }

    [[nodiscard]] bool is_shutting_down() const noexcept { return m_is_shutting_down; }
    [[nodiscard]] std::unique_ptr<wire::load_report_message> make_load_report() const;

private:
    void handle(connection_id connection, wire::message content);
    void request_newer_revision(connection_id connection, std::uint64_t peer_revision);
    void send_configuration(connection_id connection);
    void tick();
    void detect_freeze();
    boost::asio::awaitable<void> verify_revision(std::uint64_t verification);
    void finish_verification(std::uint64_t verification);
    void finish_shutdown();

    sidecar_context& m_context;
    dispatch_manager m_dispatches;
    offer_scheduler m_offers;
    order_controller m_orders;
    cache_event_poller m_cache;
    timer_subscription m_tick;
    time_point m_last_seen = std::chrono::steady_clock::now(); ///< when detect_freeze() ran last
    std::uint64_t m_verification = 0;                          ///< number of freezes that were detected
    std::uint64_t m_verified = 0; ///< number of the last freeze after which the revision was verified
    std::uint64_t m_requested_revision = 0; ///< the newest revision that was requested from a peer
    time_point m_requested_at{};            ///< when the configuration was last requested
    bool m_is_shutting_down = false;
    std::function<void()> m_shutdown_done; ///< called when the graceful stop is complete; empty otherwise
};

} // namespace borageford::sidecar
