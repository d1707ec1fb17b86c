// Implements server_starts with a map of the current starts and a bounded list of superseded ones.
#include "policy/server_starts.hpp"

namespace borageford::policy {

namespace {

/// Maximum number of superseded starts that are remembered, about 0.4 MB. Enough for 1,300 servers that all
/// start three times before a delayed registration of an earlier start arrives.
constexpr std::size_t max_superseded = 4096;

} // namespace

server_starts::verdict server_starts::take(std::string_view id, std::uint64_t start) {
    if (m_superseded.contains({std::string(id), start})) {
        return verdict::superseded;
    }
    const auto current = m_current.find(id);
    if (current == m_current.end()) {
        m_current.emplace(id, start);
        return verdict::first;
    }
    if (current->second == start) {
        return verdict::same;
    }
    if (start == 0) {
        return verdict::unstated;
    }
    supersede(id, std::exchange(current->second, start));
    return verdict::restarted;
}

void server_starts::forget(std::string_view id) {
    const auto current = m_current.find(id);
    if (current != m_current.end()) {
        m_current.erase(current);
    }
}

void server_starts::supersede(std::string_view id, std::uint64_t start) {
    if (start == 0) {
        return; // 0 stands for any start that isn't stated, so it can't be recognised as a previous one
    }
    m_order.emplace_back(id, start);
    m_superseded.insert(m_order.back());
    if (m_order.size() > max_superseded) {
        m_superseded.erase(m_order.front());
        m_order.pop_front();
    }
}

} // namespace borageford::policy
