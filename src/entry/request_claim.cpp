// Makes, adopts, finishes and releases the claim of a call.
#include "entry/request_claim.hpp"

#include "base/request_error.hpp"

#include <chrono>
#include <utility>

namespace borageford::entry {

namespace asio = boost::asio;

asio::awaitable<std::optional<claim>> request_claim::try_claim(const granted_place& place) {
    if (m_call.is_idempotent) {
        co_return std::nullopt;
    }
    m_claim.dispatch = place.dispatch;
    m_claim.request = m_call.id;
    m_claim.fingerprint = m_call.fingerprint;
    m_claim.backend_server = place.backend_server;
    m_claim.incarnation = place.incarnation;
    m_claim.granted_at_ms = place.granted_at_ms;
    m_claim.state = claim_state::claimed;
    m_claim.time = claim_time_now();
    auto result = co_await m_store.try_claim(m_call.workspace->name, m_call.idempotency_key, m_claim);
    if (const auto* written = std::get_if<claim_written>(&result)) {
        m_claim.version = written->version;
        m_is_adopted = false;
        co_return std::nullopt;
    }
    co_return std::move(std::get<claim_conflict>(result).current);
}

asio::awaitable<std::optional<claim>> request_claim::find_earlier() {
    if (m_call.is_idempotent || m_claim.version != 0) {
        co_return std::nullopt;
    }
    co_return co_await m_store.read(m_call.workspace->name, m_call.idempotency_key);
}

asio::awaitable<bool> request_claim::is_finished() {
    if (m_call.is_idempotent) {
        co_return false;
    }
    const auto existing = co_await m_store.read(m_call.workspace->name, m_call.idempotency_key);
    co_return existing && existing->state == claim_state::finished;
}

void request_claim::adopt(const claim& existing) {
    if (existing.fingerprint != m_call.fingerprint) {
        throw request_error(error_kind::idempotency_key_reused);
    }
    m_claim = existing;
    m_is_adopted = true;
}

void request_claim::finish() {
    if (m_claim.version != 0 && m_claim.state != claim_state::finished) {
        m_store.record_finished(m_call.workspace->name, m_call.idempotency_key, m_claim);
    }
    m_claim.version = 0;
}

void request_claim::release() {
    if (m_claim.version != 0 && !m_is_adopted) {
        m_store.release(m_call.workspace->name, m_call.idempotency_key, m_claim);
    }
    m_claim.version = 0;
}

bool request_claim::is_known_finished() const noexcept {
    return m_is_adopted && m_claim.state == claim_state::finished;
}

} // namespace borageford::entry
