// Implementation of crash_exchange.
#include "coordination/crash_exchange.hpp"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <iterator>
#include <utility>
#include <vector>

namespace borageford::coordination {

namespace {

/// For how long heartbeats repeat what became known: several heartbeats, some of which may be lost.
constexpr std::chrono::milliseconds repeat_time{1000};
/// What heartbeats repeat fits into one datagram. If a rack of servers crashes, it is the latest marks.
constexpr std::size_t max_repeated = 16;

template <typename Learned>
auto take_recent(std::deque<Learned>& learned, policy::time_point now) {
    while (!learned.empty() && now - learned.front().at > repeat_time) {
        learned.pop_front();
    }
    std::vector<decltype(Learned::item)> result;
    result.reserve(learned.size());
    std::ranges::transform(learned, std::back_inserter(result), &Learned::item);
    return result;
}

template <typename Learned>
void remember(std::deque<Learned>& learned, Learned entry) {
    learned.push_back(std::move(entry));
    if (learned.size() > max_repeated) {
        learned.pop_front();
    }
}

} // namespace

policy::crash_statement crash_exchange::observe_crash(policy::server_key server,
                                                      std::span<const policy::crash_suspect> suspects,
                                                      policy::time_point now) {
    policy::crash_statement news;
    for (const auto& suspect : suspects) {
        add(policy::crash_mark{suspect, server, now, m_self}, now, news);
    }
    return news;
}

policy::crash_statement crash_exchange::observe_answer(std::span<const policy::crash_suspect> suspects,
                                                       policy::time_point now) {
    policy::crash_statement news;
    for (const auto& suspect : suspects) {
        m_answers.record(suspect, now);
        if (m_ledger.marks(suspect, now) > 0) {
            add(policy::crash_clearance{suspect, now, m_self}, now, news);
        }
    }
    return news;
}

policy::crash_statement crash_exchange::clear(std::span<const policy::crash_suspect> suspects,
                                              policy::time_point now) {
    policy::crash_statement news;
    for (const auto& suspect : suspects) {
        add(policy::crash_clearance{suspect, now, m_self}, now, news);
    }
    return news;
}

policy::crash_statement crash_exchange::merge(const policy::crash_statement& received,
                                              policy::time_point now) {
    policy::crash_statement news;
    for (const auto& clearance : received.clearances) {
        add(clearance, now, news);
    }
    for (const auto& mark : received.marks) {
        add(mark, now, news);
    }
    return news;
}

policy::crash_statement crash_exchange::select_for_members(const policy::crash_statement& news,
                                                           policy::time_point now) {
    policy::crash_statement result;
    for (const auto& clearance : news.clearances) {
        if (std::erase(m_told, clearance.suspect) > 0) {
            result.clearances.push_back(clearance);
        }
    }
    for (const auto& mark : news.marks) {
        if (m_ledger.quarantine_left(mark.suspect, now).has_value()) {
            remember_told(mark.suspect);
            std::ranges::copy(m_ledger.list_marks(mark.suspect), std::back_inserter(result.marks));
        }
    }
    return result;
}

void crash_exchange::remember_told(const policy::crash_suspect& suspect) {
    std::erase(m_told, suspect);
    m_told.push_back(suspect);
    if (m_told.size() > max_told) {
        m_told.pop_front();
    }
}

policy::crash_statement crash_exchange::recent(policy::time_point now) {
    return {take_recent(m_recent_marks, now), take_recent(m_recent_clearances, now)};
}

void crash_exchange::add(const policy::crash_mark& mark, policy::time_point now,
                         policy::crash_statement& news) {
    if (m_answers.contains(mark.suspect, now)) {
        if (mark.heard_by != m_self && m_ledger.add(mark, now) != policy::crash_ledger::change::none) {
            add(policy::crash_clearance{mark.suspect, now, m_self}, now, news);
        }
        return;
    }
    const auto change = m_ledger.add(mark, now);
    if (change == policy::crash_ledger::change::none) {
        return;
    }
    m_observers.on_mark(mark, change);
    remember(m_recent_marks, {mark, now});
    news.marks.push_back(mark);
}

void crash_exchange::add(const policy::crash_clearance& clearance, policy::time_point now,
                         policy::crash_statement& news) {
    const auto clearing = m_ledger.clear(clearance);
    if (clearing == policy::crash_ledger::clearing::none) {
        return;
    }
    if (clearing == policy::crash_ledger::clearing::cleared) {
        m_observers.on_clearance(clearance);
    }
    remember(m_recent_clearances, {clearance, now});
    news.clearances.push_back(clearance);
}

} // namespace borageford::coordination
