// Keeps a numbered log of the streams of this process, from which each keeper is told what it lacks. How a
// stream's origin is found is in stream_exchange_questions.cpp.
#include "coordination/stream_exchange.hpp"

#include <algorithm>
#include <utility>

namespace borageford::coordination {

namespace {

/// They fit into one datagram.
constexpr std::size_t max_told_at_once = 32;
/// Gateways are often replaced. When more keepers than this were told, all are told anew.
constexpr std::size_t max_keeper_states = 32;

} // namespace

stream_exchange::stream_exchange(policy::duration lifetime, policy::time_point known_since,
                                 environment surroundings)
    : m_lifetime(lifetime),
      m_environment(std::move(surroundings)),
      m_history(lifetime, known_since),
      m_table(lifetime) {}

void stream_exchange::note(const policy::stream_origin& origin, bool must_tell, policy::time_point now) {
    drop_old(now);
    m_table.add(origin, now);
    // What is told is what the table says: two different origins of one stream leave it unknown everywhere.
    auto noted = origin;
    noted.software = m_table.find(origin.stream, now).value_or(origin).software;
    m_log.push_back({noted, must_tell});
    if (m_log.size() > policy::stream_origin_table::default_capacity) {
        m_log.pop_front();
        ++m_first;
    }
    if (!m_history.is_settled(origin.service, now)) {
        settle(origin.service, now);
    }
}

void stream_exchange::tick(policy::time_point now) {
    drop_old(now);
    if (m_keepers.size() > max_keeper_states) {
        m_keepers.clear();
    }
    ask_again(now);
    send_owed_answers(now);
}

void stream_exchange::drop_old(policy::time_point now) {
    while (!m_log.empty() && now - m_log.front().origin.noted > m_lifetime) {
        m_log.pop_front();
        ++m_first;
    }
}

bool stream_exchange::should_tell(const noted_here& entry, policy::time_point now) const {
    return entry.must_tell || !has_one_version(entry.origin.service, now);
}

/// The state of a keeper. After another version has shown up, all streams are told that weren't before.
stream_exchange::keeper_state& stream_exchange::state_of(policy::member_key keeper) {
    if (std::exchange(m_told_revision, m_history.revision()) != m_history.revision()) {
        m_keepers.clear();
    }
    return m_keepers.try_emplace(keeper, keeper_state{0, m_first}).first->second;
}

/// Moves on to the next stream that must be told.
void stream_exchange::skip_untold(keeper_state& state, policy::time_point now) {
    state.told = std::max(state.told, m_first);
    const auto end = m_first + static_cast<std::uint32_t>(m_log.size());
    while (state.told < end && !should_tell(m_log[state.told - m_first], now)) {
        ++state.told;
    }
}

void stream_exchange::apply_acknowledgement(keeper_state& keeper, std::uint64_t incarnation,
                                            std::uint32_t acknowledged) const {
    const auto former = std::exchange(keeper.incarnation, incarnation);
    if (former != 0 && former != incarnation) {
        keeper.told = m_first; // another process, which was told nothing
    } else if (acknowledged <= m_first + m_log.size()) {
        keeper.told = std::max(keeper.told, acknowledged);
    }
}

bool stream_exchange::has_news_for(policy::member_key keeper, policy::time_point now) {
    if (m_log.empty()) {
        return false;
    }
    auto& state = state_of(keeper);
    skip_untold(state, now);
    return state.told < m_first + m_log.size();
}

stream_items stream_exchange::take_for(policy::member_key keeper, policy::time_point now) {
    stream_items result;
    if (!has_news_for(keeper, now)) {
        return result;
    }
    const auto end = m_first + static_cast<std::uint32_t>(m_log.size());
    auto next = state_of(keeper).told;
    for (; next < end && result.origins.size() < max_told_at_once; ++next) {
        if (const auto& entry = m_log[next - m_first]; should_tell(entry, now)) {
            result.origins.push_back(entry.origin);
        }
    }
    result.told = next;
    return result;
}

stream_items stream_exchange::receive(policy::member_key member, std::uint64_t incarnation,
                                      const stream_items& received, policy::time_point now) {
    if (const auto keeper = m_keepers.find(member); keeper != m_keepers.end()) {
        apply_acknowledgement(keeper->second, incarnation, received.acknowledged);
    }
    for (const auto& origin : received.origins) {
        m_table.add(origin, now);
    }
    for (const auto& each : received.answers) {
        apply_answer(member, each, now);
    }
    stream_items reply;
    reply.acknowledged = received.told;
    bool must_check = false;
    for (const auto& question : received.questions) {
        if (auto answer = find_answer(question, now, now)) {
            reply.answers.push_back(*answer);
        } else if (!owes(member, question)) {
            m_owed.push_back({member, question, now});
            must_check = true;
        }
    }
    if (must_check) {
        m_environment.servers.check();
    }
    return reply;
}

} // namespace borageford::coordination
