// Follows the engine's cache events and corrects what is thought to be cached there.
#pragma once

#include "backend/backend_server.hpp"
#include "sidecar/sidecar_context.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstdint>

namespace borageford::sidecar {

/// Used on the strand. Events are hints: they come late and with gaps.
class cache_follower {
public:
    cache_follower(sidecar_context& context, backend::backend_server& server);

    void start();
    void stop() { m_timer.cancel(); }
    /// The engine was started again and counts from the beginning.
    void reset();

private:
    void poll_soon();
    boost::asio::awaitable<void> poll();
    void take(const backend::cache_event_batch& batch);

    sidecar_context& m_context;
    backend::backend_server& m_server;
    timer_subscription m_timer;
    bool m_is_polling = false;
    std::uint64_t m_next = 0;
    std::uint64_t m_life = 0; ///< of the engine, as far as it was told
};

} // namespace borageford::sidecar
