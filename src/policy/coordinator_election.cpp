// Prefers, among the responsive candidates: the best `fitness`, then the largest processor share, then the
// acting coordinator, then the lowest key.
#include "policy/coordinator_election.hpp"

#include <algorithm>
#include <cmath>

namespace borageford::policy {

namespace {

/// A longer gap between two calls of tick() means that the process was suspended and that its knowledge of
/// the other members is out of date. Ticks come every 50 ms.
constexpr std::chrono::milliseconds longest_tick_gap{200};

/// Processor share assumed for a member that hasn't reported its share yet; larger than any real one.
constexpr double unreported_share = 1e6;

long to_thousandths(double share) {
    return std::lround(share * 1000);
}

} // namespace

coordinator_election::coordinator_election(member_key self, double processor_share, election_limits limits,
                                           time_point now)
    : m_self(self),
      m_processor_share(processor_share),
      m_limits(limits),
      m_probation_begin(now),
      m_last_tick(now),
      m_started(now) {}

void coordinator_election::add(member_key member, double processor_share) {
    if (member != m_self) {
        set_share(entry_of(member), processor_share);
    }
}

coordinator_election::member& coordinator_election::entry_of(member_key key) {
    const auto [found, is_new] = m_members.try_emplace(key);
    if (is_new) {
        m_order.clear();
    }
    return found->second;
}

void coordinator_election::set_share(member& entry, double processor_share) {
    if (entry.processor_share != processor_share) {
        entry.processor_share = processor_share;
        m_order.clear();
    }
}

bool coordinator_election::learn(member_key member, time_point now) {
    if (member == m_self || m_members.contains(member)) {
        return false;
    }
    // The member comes first in the order until it reports its share, so that it soon receives a heartbeat.
    auto& entry = entry_of(member);
    set_share(entry, unreported_share);
    entry.learned = now;
    return true;
}

void coordinator_election::forget(member_key member) {
    m_members.erase(member);
    m_order.clear();
}

void coordinator_election::record_heartbeat(member_key member, const member_status& status, time_point now) {
    if (member == m_self) {
        return;
    }
    auto& entry = entry_of(member);
    set_share(entry, status.processor_share);
    entry.status = status;
    entry.last_heartbeat = now;
    entry.has_sent_heartbeat = true;
}

void coordinator_election::tick(time_point now) {
    if (now - m_last_tick > longest_tick_gap) {
        m_probation_begin = now;
    }
    m_last_tick = now;
    const auto forgotten = std::erase_if(m_members, [&](const auto& entry) {
        const auto& [key, known] = entry;
        const auto last_sign = known.has_sent_heartbeat ? known.last_heartbeat : known.learned.value_or(now);
        return known.learned.has_value() && now - last_sign > m_limits.learned_member_timeout;
    });
    if (forgotten > 0) {
        m_order.clear();
    }
}

bool coordinator_election::is_eligible(time_point now) const {
    return !m_is_shutting_down && now - m_probation_begin >= m_limits.probation;
}

bool coordinator_election::is_responsive(member_key member, time_point now) const {
    const auto found = m_members.find(member);
    return found != m_members.end() && found->second.has_sent_heartbeat &&
           now - found->second.last_heartbeat <= m_limits.response_timeout;
}

bool coordinator_election::has_reported_acting(member_key member) const {
    const auto found = m_members.find(member);
    return found != m_members.end() && found->second.status.is_acting;
}

bool coordinator_election::is_absent(const member& entry, time_point now) const {
    return !entry.has_sent_heartbeat || now - entry.last_heartbeat > m_limits.absence_timeout;
}

const std::vector<coordinator_election::ranked>& coordinator_election::ordered_members() const {
    if (m_order.empty()) {
        m_order.push_back({-to_thousandths(m_processor_share), m_self});
        for (const auto& [key, entry] : m_members) {
            m_order.push_back({-to_thousandths(entry.processor_share), key});
        }
        std::ranges::sort(m_order);
    }
    return m_order;
}

coordinator_election::fitness coordinator_election::own_fitness(time_point now) const {
    if (m_is_shutting_down) {
        return fitness::leaving;
    }
    return is_eligible(now) ? fitness::ready : fitness::on_probation;
}

bool coordinator_election::has_received_heartbeat() const {
    return std::ranges::any_of(m_members, [](const auto& entry) { return entry.second.has_sent_heartbeat; });
}

coordinator_election::choice coordinator_election::choose(time_point now) const {
    const bool is_waiting_initially =
        !has_received_heartbeat() && !m_members.empty() && now - m_started < m_limits.initial_wait;
    if (is_waiting_initially) {
        return {};
    }
    preference best{fitness::leaving, 0, !m_is_acting, m_self};
    bool has_any = false;
    std::size_t seen = 0;
    for (const auto& [share, key] : ordered_members()) {
        if (seen == m_limits.candidates) {
            break; // members after the candidates don't receive everybody's heartbeats
        }
        const bool is_self = key == m_self;
        if (!is_self && is_absent(m_members.at(key), now)) {
            continue;
        }
        ++seen;
        preference found{own_fitness(now), share, !m_is_acting, key};
        if (!is_self) {
            const auto& status = m_members.at(key).status;
            found.is_not_acting = !status.is_acting;
            found.fit = status.is_leaving    ? fitness::leaving
                        : status.is_eligible ? fitness::ready
                                             : fitness::on_probation;
        }
        const bool is_usable = is_self || is_responsive(key, now);
        if (is_usable && (!has_any || found < best)) {
            best = found;
            has_any = true;
        }
    }
    if (!has_any) {
        return {};
    }
    return {best.key == m_self ? role::self : role::other, best.key};
}

bool coordinator_election::is_candidate(time_point now) const {
    // candidates() leaves out this process, so its list is full only if this process isn't a candidate.
    return candidates(now).size() < m_limits.candidates;
}

std::vector<member_key> coordinator_election::candidates(time_point now) const {
    std::vector<member_key> result;
    std::size_t seen = 0;
    for (const auto& [share, key] : ordered_members()) {
        if (seen == m_limits.candidates) {
            break;
        }
        if (key == m_self) {
            ++seen;
        } else if (!is_absent(m_members.at(key), now)) {
            result.push_back(key);
            ++seen;
        }
    }
    return result;
}

std::vector<member_key> coordinator_election::known(time_point now) const {
    auto result = candidates(now);
    const auto chosen = choose(now);
    if (chosen.who == role::other && std::ranges::find(result, chosen.member) == result.end()) {
        result.push_back(chosen.member);
    }
    return result;
}

std::vector<member_key> coordinator_election::absent(time_point now) const {
    std::vector<member_key> result;
    std::size_t present = 0;
    for (const auto& [share, key] : ordered_members()) {
        if (present == m_limits.candidates) {
            break;
        }
        if (key == m_self || !is_absent(m_members.at(key), now)) {
            ++present;
        } else {
            result.push_back(key);
        }
    }
    return result;
}

} // namespace borageford::policy
