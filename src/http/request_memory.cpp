// Implements request_memory.
#include "http/request_memory.hpp"

#include <utility>

namespace borageford::http {

namespace {

/// Requests are ended until this part of the bound is held, so that this isn't done for each byte.
constexpr std::size_t percent_after_relief = 90;

} // namespace

request_memory::account::account(request_memory& memory, std::function<void()> end)
    : m_memory(memory), m_end(std::move(end)) {}

request_memory::account::~account() {
    release();
}

void request_memory::account::update(std::size_t bytes) {
    const auto now = clock::now();
    const std::scoped_lock lock(m_memory.m_mutex);
    if (m_memory.m_arriving.insert(this).second) {
        m_since = now;
    }
    m_memory.set(*this, bytes);
    if (m_memory.m_held > m_memory.m_limit) {
        m_memory.relieve(now);
    }
}

void request_memory::account::complete() {
    const std::scoped_lock lock(m_memory.m_mutex);
    m_memory.m_arriving.erase(this);
}

void request_memory::account::release() {
    const std::scoped_lock lock(m_memory.m_mutex);
    m_memory.m_arriving.erase(this);
    m_memory.set(*this, 0);
}

void request_memory::set(account& changed, std::size_t bytes) {
    m_held += bytes - changed.m_bytes;
    changed.m_bytes = bytes;
}

void request_memory::relieve(clock::time_point now) {
    while (m_held > m_limit / 100 * percent_after_relief) {
        auto* const chosen = choose(now);
        if (chosen == nullptr) {
            return;
        }
        m_arriving.erase(chosen);
        set(*chosen, 0);
        chosen->m_end();
    }
}

/// The incomplete request with the largest product of bytes and time, as in policy::unread_memory.
request_memory::account* request_memory::choose(clock::time_point now) const {
    account* chosen = nullptr;
    double worst = -1;
    for (auto* const next : m_arriving) {
        const std::chrono::duration<double> age = now - next->m_since;
        const auto weight = static_cast<double>(next->m_bytes) * age.count();
        if (weight > worst) {
            worst = weight;
            chosen = next;
        }
    }
    return chosen;
}

} // namespace borageford::http
