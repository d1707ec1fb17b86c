// Keeps the sessions by member.
#include "coordination/member_sessions.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace borageford::coordination {

member_sessions::session* member_sessions::find(policy::member_key member) {
    const auto found = m_sessions.find(member);
    return found == m_sessions.end() ? nullptr : &found->second;
}

member_sessions::session& member_sessions::begin(policy::member_key member, std::uint64_t id,
                                                 policy::time_point now) {
    return m_sessions.insert_or_assign(member, session{batch_channel(id), now}).first->second;
}

std::vector<policy::member_key> member_sessions::members() const {
    std::vector<policy::member_key> result;
    result.reserve(m_sessions.size());
    for (const auto& [member, served] : m_sessions) {
        result.push_back(member);
    }
    return result;
}

std::size_t member_sessions::count_heard_since(policy::time_point time) const {
    return static_cast<std::size_t>(std::ranges::count_if(
        m_sessions, [time](const auto& entry) { return entry.second.last_message >= time; }));
}

void member_sessions::queue_decisions(policy::member_key member, const batch_items& decided) {
    auto* served = find(member);
    if (served == nullptr) {
        return;
    }
    auto& pending = served->channel.pending();
    std::ranges::copy(decided.grants, std::back_inserter(pending.grants));
    std::ranges::copy(decided.refusals, std::back_inserter(pending.refusals));
    m_to_flush.insert(member);
}

void member_sessions::queue_departure(const policy::departure& heard) {
    for (auto& [member, session] : m_sessions) {
        session.channel.pending().departures.push_back(heard);
        m_to_flush.insert(member);
    }
}

void member_sessions::queue_crashes(const policy::crash_statement& news, policy::member_key source) {
    for (auto& [member, session] : m_sessions) {
        if (member != source) {
            append(session.channel.pending().crashes, news);
            m_to_flush.insert(member);
        }
    }
}

void member_sessions::flush(const std::function<void(policy::member_key, batch_channel&)>& send) {
    for (const auto member : std::exchange(m_to_flush, {})) {
        if (auto* served = find(member)) {
            send(member, served->channel);
        }
    }
}

bool member_sessions::has_unacknowledged() const {
    return std::ranges::any_of(m_sessions,
                               [](const auto& entry) { return entry.second.channel.has_unacknowledged(); });
}

void member_sessions::flush_unacknowledged() {
    for (const auto& [member, served] : m_sessions) {
        if (served.channel.has_unacknowledged()) {
            m_to_flush.insert(member);
        }
    }
}

std::vector<member_sessions::unresponsive_member> member_sessions::end_unresponsive(policy::duration timeout,
                                                                                    policy::time_point now) {
    std::vector<unresponsive_member> ended;
    std::erase_if(m_sessions, [&](const auto& entry) {
        const auto silent = now - entry.second.last_message;
        if (silent <= timeout) {
            return false;
        }
        ended.push_back({entry.first, silent});
        return true;
    });
    return ended;
}

} // namespace borageford::coordination
