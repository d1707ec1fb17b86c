// Implements refusal_history as a map from fingerprints to refusals and a queue of all refusals in order of
// time, by which old entries are removed.
#include "policy/refusal_history.hpp"

#include <chrono>

namespace borageford::policy {

namespace {

/// How long a refusal is remembered. Callers are told to retry within five seconds at most, and this leaves
/// them as much time again to do so.
constexpr std::chrono::seconds lifetime{10};
constexpr std::size_t max_entries = 20000;

} // namespace

void refusal_history::remove_expired(time_point now) {
    while (!m_order.empty() && (now - m_order.front().at > lifetime || m_order.size() > max_entries)) {
        const auto found = m_refusals.find(m_order.front().fingerprint);
        if (found != m_refusals.end() && found->second.last == m_order.front().at) {
            m_refusals.erase(found);
        }
        m_order.pop_front();
    }
}

void refusal_history::record_refused(std::uint64_t fingerprint, time_point now) {
    if (fingerprint == 0) {
        return;
    }
    auto& entry = m_refusals[fingerprint];
    ++entry.refusals;
    entry.last = now;
    m_order.push_back({fingerprint, now});
    remove_expired(now);
}

unsigned refusal_history::refusals(std::uint64_t fingerprint, time_point now) {
    remove_expired(now);
    const auto found = m_refusals.find(fingerprint);
    return fingerprint == 0 || found == m_refusals.end() ? 0 : found->second.refusals;
}

} // namespace borageford::policy
