// Implements how a stream_exchange finds the origin of a stream: from what it was told, by asking the
// keepers, or because no other version can have begun it.
#include "coordination/stream_exchange.hpp"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

namespace borageford::coordination {

namespace {

/// Ticks in which a question is sent to the keepers that haven't answered. An answer takes some milliseconds,
/// and one lost datagram must not leave a stream unknown; the caller waits meanwhile.
constexpr unsigned max_rounds = 4;
/// How long an answer waits for the store. The asker gives up then.
constexpr std::chrono::milliseconds max_owed_time{200};
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

/// Asks the keepers whether the service has had one version only, so that this process needn't tell its
/// streams.
void stream_exchange::settle(policy::service_key service, policy::time_point now) {
    const auto last = m_settling.find(service);
    if (last == m_settling.end() || now - last->second >= settle_period) {
        m_settling[service] = now;
        ask({0, 0, service}, [](const found_origin&) {}, now);
    }
}

void stream_exchange::find(const resumed_stream& wanted, origin_handler on_found, policy::time_point now) {
    auto found = find_told(wanted.stream, now);
    if (!found.has_value()) {
        found = find_only_version(wanted.service, now, now);
    }
    if (found.has_value()) {
        on_found(*found);
    } else {
        ask({0, wanted.stream, wanted.service}, std::move(on_found), now);
    }
}

/// The origin of a stream that began here or was told; nothing if the stream isn't known.
std::optional<found_origin> stream_exchange::find_told(policy::stream_key stream,
                                                       policy::time_point now) const {
    const auto known = m_table.find(stream, now);
    if (!known.has_value() || stream == 0) {
        return std::nullopt;
    }
    const auto source = known->software != 0 ? origin_source::here : origin_source::unknown;
    return found_origin{source, known->service, known->software};
}

/// The only version that the service can have had; nothing if the store hasn't confirmed it since this time.
std::optional<found_origin> stream_exchange::find_only_version(policy::service_key service,
                                                               policy::time_point since,
                                                               policy::time_point now) const {
    if (!has_one_version(service, now) || !m_environment.servers.is_checked_since(since)) {
        return std::nullopt;
    }
    return found_origin{origin_source::one_version, service, *m_history.only_version(service, now)};
}

/// Whether the service has had a single version, as far as this process knows.
bool stream_exchange::has_one_version(policy::service_key service, policy::time_point now) const {
    return service != 0 && m_history.only_version(service, now).has_value();
}

/// If the store has to confirm what is known here, the keepers are asked only if it doesn't do so by the next
/// tick.
void stream_exchange::ask(const stream_question& question, origin_handler on_found, policy::time_point now) {
    pending_question pending{question, std::move(on_found), now, {}, {}, 0};
    pending.question.id = ++m_last_question;
    const auto added = m_questions.emplace(pending.question.id, std::move(pending)).first;
    if (has_one_version(question.service, now)) {
        m_environment.servers.check();
    } else {
        send_question(added->second);
    }
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

/// The answer to a member's question, which arrived at `since`; nothing if the store has to confirm it first.
std::optional<stream_answer> stream_exchange::find_answer(const stream_question& question,
                                                          policy::time_point since,
                                                          policy::time_point now) const {
    if (const auto told = find_told(question.stream, now)) {
        return stream_answer{question.id, stream_knowledge::origin, told->service, told->software};
    }
    if (!has_one_version(question.service, now)) {
        return stream_answer{question.id};
    }
    const auto only = find_only_version(question.service, since, now);
    if (!only.has_value()) {
        return std::nullopt;
    }
    return stream_answer{question.id, stream_knowledge::only_version, only->service, only->software};
}

bool stream_exchange::owes(policy::member_key member, const stream_question& question) const {
    return std::ranges::any_of(m_owed, [&](const owed_answer& owed) {
        return owed.member == member && owed.question.id == question.id;
    });
}

void stream_exchange::send_owed_answers(policy::time_point now) {
    std::vector<owed_answer> waiting;
    for (auto& owed : std::exchange(m_owed, {})) {
        auto answer = find_answer(owed.question, owed.since, now);
        if (!answer.has_value() && now - owed.since < max_owed_time) {
            waiting.push_back(std::move(owed));
            continue;
        }
        stream_items items;
        items.answers.push_back(answer.value_or(stream_answer{owed.question.id}));
        m_environment.send(owed.member, std::move(items));
    }
    std::ranges::move(waiting, std::back_inserter(m_owed));
}

void stream_exchange::handle_servers_checked(policy::time_point now) {
    std::map<std::uint64_t, found_origin> ended;
    for (auto& [id, pending] : m_questions) {
        const auto service = pending.question.service;
        if (const auto found = find_only_version(service, pending.since, now)) {
            ended[id] = *found;
        } else if (!has_one_version(service, now) && pending.rounds == 0) {
            send_question(pending);
        }
    }
    finish_all(ended);
    send_owed_answers(now);
}

void stream_exchange::finish_all(const std::map<std::uint64_t, found_origin>& ended) {
    for (const auto& [id, found] : ended) {
        if (const auto pending = m_questions.find(id); pending != m_questions.end()) {
            finish(pending, found);
        }
    }
}

/// Ends the questions that can be answered by now or that nobody has answered, and repeats the others.
void stream_exchange::ask_again(policy::time_point now) {
    std::map<std::uint64_t, found_origin> ended;
    for (auto& [id, pending] : m_questions) {
        // A process that has just started may have learned meanwhile which versions there were.
        auto found = find_told(pending.question.stream, now);
        if (!found.has_value()) {
            found = find_only_version(pending.question.service, pending.since, now);
        }
        if (found.has_value() || pending.rounds >= max_rounds) {
            ended[id] = found.value_or(found_origin());
            continue;
        }
        send_question(pending);
        if (has_one_version(pending.question.service, now)) {
            m_environment.servers.check();
        }
    }
    finish_all(ended);
}

} // namespace borageford::coordination
