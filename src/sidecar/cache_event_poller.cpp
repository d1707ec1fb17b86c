// Implementation of cache_event_poller: polls the engine's cache events.
#include "sidecar/cache_event_poller.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace borageford::sidecar {

namespace asio = boost::asio;

cache_event_poller::cache_event_poller(sidecar_context& context, backend::backend_server& server)
    : m_context(context), m_server(server) {}

void cache_event_poller::start() {
    if (m_timer.is_active()) {
        return;
    }
    m_timer =
        m_context.timers.every(m_context.strand, m_context.settings.cache_period, [this] { poll_soon(); });
}

void cache_event_poller::reset() {
    m_next = 0;
    ++m_reset_count;
    m_context.prefixes.clear();
}

void cache_event_poller::poll_soon() {
    if (m_is_polling || !m_server.is_engine() || !m_context.monitor.is_up()) {
        return;
    }
    m_is_polling = true;
    asio::co_spawn(m_context.strand, poll(), asio::detached);
}

asio::awaitable<void> cache_event_poller::poll() {
    const auto reset_count = m_reset_count;
    try {
        const auto batch = co_await m_server.as_engine()->cache_events(m_next);
        if (reset_count == m_reset_count) {
            apply(batch);
        }
    } catch (const std::exception&) {
        // The poll failed. The prefixes recorded so far are kept, and the next poll tries again.
    }
    m_is_polling = false;
}

void cache_event_poller::apply(const backend::cache_event_batch& batch) {
    for (const auto& event : batch.events) {
        if (event.is_stored) {
            m_context.prefixes.add(event.hashes);
        } else {
            m_context.prefixes.remove(event.hashes);
        }
    }
    m_next = batch.next;
}

} // namespace borageford::sidecar
