// Polls the engine's cache events and updates the sidecar's record of the prompt blocks that the engine has
// cached.
#pragma once

#include "backend/backend_server.hpp"
#include "sidecar/sidecar_context.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstdint>

namespace borageford::sidecar {

/// Applies the engine's cache events to sidecar_context::prefixes. Used on sidecar_context::strand only. The
/// events are hints: they arrive late and some are missing.
class cache_event_poller {
public:
    cache_event_poller(sidecar_context& context, backend::backend_server& server);

    /// Polls once every `cache_period` from now on. Does nothing when already started.
    void start();
    void stop() { m_timer.cancel(); }
    /// To be called when the engine went down: it restarts with an empty cache and counts its events from 0
    /// again.
    void reset();

private:
    void poll_soon();
    boost::asio::awaitable<void> poll();
    void apply(const backend::cache_event_batch& batch);

    sidecar_context& m_context;
    backend::backend_server& m_server;
    timer_subscription m_timer;
    bool m_is_polling = false;
    std::uint64_t m_next = 0;        ///< number of the next event to read
    std::uint64_t m_reset_count = 0; ///< a poll that began before the last reset is discarded
};

} // namespace borageford::sidecar
