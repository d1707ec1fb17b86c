// Keeps a numbered log of the streams of this process, from which each keeper is told what it lacks.
#include "coordination/stream_exchange.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace borageford::coordination {

namespace {

/// They fit into one datagram.
constexpr std::size_t max_told_at_once = 32;
/// Gateways are often replaced. When more keepers than this were told, all are told anew.
constexpr std::size_t max_keeper_states = 32;
/// Ticks in which a question is sent to the keepers that haven't answered. An answer takes some milliseconds,
/// and one lost datagram must not leave a stream unknown; the caller waits meanwhile.
constexpr unsigned max_rounds = 4;
/// A process that knows all servers again within this time has missed none that served requests and left.
constexpr std::chrono::milliseconds tolerated_gap{2000};
/// Time between two questions of a process that has just started whether a service has had one version only.
constexpr std::chrono::milliseconds settle_period{1000};

} // namespace

std::string_view to_string(origin_source source) noexcept {
    switch (source) {
    case origin_source::here:
        return "here";
    case origin_source::one_version:
        return "one_version";
    case origin_source::other_gateway:
        return "other_gateway";
    case origin_source::unknown:
        break;
    }
    return "unknown";
}

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

/// Asks the keepers whether the service has had one version only, so that this process needn't tell its
/// streams.
void stream_exchange::settle(policy::service_key service, policy::time_point now) {
    const auto last = m_settling.find(service);
    if (last == m_settling.end() || now - last->second >= settle_period) {
        m_settling[service] = now;
        ask({0, 0, service}, [](const found_origin&) {});
    }
}

void stream_exchange::find(const resumed_stream& wanted, origin_handler on_found, policy::time_point now) {
    if (const auto found = find_here(wanted, now)) {
        on_found(*found);
        return;
    }
    ask({0, wanted.stream, wanted.service}, std::move(on_found));
}

/// Returns nothing if the other gateways should be asked.
std::optional<found_origin> stream_exchange::find_here(const resumed_stream& wanted,
                                                       policy::time_point now) const {
    if (const auto known = m_table.find(wanted.stream, now); known.has_value() && wanted.stream != 0) {
        const auto source = known->software != 0 ? origin_source::here : origin_source::unknown;
        return found_origin{source, known->service, known->software};
    }
    const auto only = m_history.only_version(wanted.service, now);
    if (wanted.service != 0 && only.has_value() && m_environment.knows_all_servers()) {
        return found_origin{origin_source::one_version, wanted.service, *only};
    }
    return std::nullopt;
}

void stream_exchange::ask(const stream_question& question, origin_handler on_found) {
    pending_question pending{question, std::move(on_found), {}, {}, 0};
    pending.question.id = ++m_last_question;
    const auto added = m_questions.emplace(pending.question.id, std::move(pending)).first;
    send_question(added->second);
}

void stream_exchange::send_question(pending_question& pending) {
    ++pending.rounds;
    for (const auto keeper : m_environment.keepers()) {
        if (!pending.answered.contains(keeper)) {
            pending.asked.insert(keeper);
            stream_items items;
            items.questions.push_back(pending.question);
            m_environment.send(keeper, std::move(items));
        }
    }
}

void stream_exchange::finish(pending_questions::iterator pending, const found_origin& found) {
    const auto on_found = std::move(pending->second.on_found);
    m_questions.erase(pending);
    on_found(found);
}

void stream_exchange::apply_answer(policy::member_key member, const stream_answer& answer,
                                   policy::time_point now) {
    const auto pending = m_questions.find(answer.id);
    if (pending == m_questions.end()) {
        return;
    }
    const auto question = pending->second.question;
    pending->second.answered.insert(member);
    if (answer.knowledge == stream_knowledge::origin) {
        const auto source = answer.software != 0 ? origin_source::other_gateway : origin_source::unknown;
        finish(pending, {source, answer.service, answer.software});
        return;
    }
    if (answer.knowledge == stream_knowledge::only_version) {
        m_history.settle(answer.service, answer.software, now);
        if (m_history.only_version(question.service, now) == answer.software) {
            finish(pending, {origin_source::other_gateway, answer.service, answer.software});
            return;
        }
    }
    const bool knows_history = m_history.is_settled(question.service, now);
    if (knows_history && pending->second.answered.size() >= pending->second.asked.size()) {
        finish(pending, {});
    }
}

stream_answer stream_exchange::answer(const stream_question& question, policy::time_point now) const {
    const auto found = find_here({question.stream, question.service}, now);
    if (!found.has_value()) {
        return {question.id};
    }
    const auto knowledge = found->source == origin_source::one_version ? stream_knowledge::only_version
                                                                       : stream_knowledge::origin;
    return {question.id, knowledge, found->service, found->software};
}

void stream_exchange::tick(policy::time_point now) {
    drop_old(now);
    if (m_keepers.size() > max_keeper_states) {
        m_keepers.clear();
    }
    if (m_environment.knows_all_servers()) {
        if (m_last_current.has_value() && now - *m_last_current > tolerated_gap) {
            m_history.interrupt(now);
        }
        m_last_current = now;
    }
    std::map<std::uint64_t, found_origin> ended;
    for (auto& [id, pending] : m_questions) {
        // A process that has just started may have learned meanwhile which versions there were.
        const auto found = find_here({pending.question.stream, pending.question.service}, now);
        if (found.has_value() || pending.rounds >= max_rounds) {
            ended[id] = found.value_or(found_origin());
        } else {
            send_question(pending);
        }
    }
    for (const auto& [id, found] : ended) {
        if (const auto pending = m_questions.find(id); pending != m_questions.end()) {
            finish(pending, found);
        }
    }
}

void stream_exchange::drop_old(policy::time_point now) {
    while (!m_log.empty() && now - m_log.front().origin.noted > m_lifetime) {
        m_log.pop_front();
        ++m_first;
    }
}

bool stream_exchange::should_tell(const noted_here& entry, policy::time_point now) const {
    return entry.must_tell || !m_history.only_version(entry.origin.service, now).has_value();
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
    for (const auto& question : received.questions) {
        reply.answers.push_back(answer(question, now));
    }
    return reply;
}

} // namespace borageford::coordination
