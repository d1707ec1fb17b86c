// Implements server_news: merges what is received into one table for each kind of news.
#include "coordination/server_news.hpp"

#include <utility>

namespace borageford::coordination {

server_news::server_news(policy::crash_ledger& ledger, policy::member_key self, std::uint64_t incarnation,
                         observers callbacks)
    : m_ledger(ledger),
      m_self(self),
      m_observers(std::move(callbacks)),
      m_rate_limits(self, incarnation, m_observers.on_rate_limit),
      m_crashes(ledger, self, m_observers.crash_changes) {}

void server_news::observe_departure(policy::server_key server, policy::time_point now) {
    add_departure({server, now, m_self}, now);
}

void server_news::add_departure(const policy::departure& heard, policy::time_point now) {
    if (m_departures.add(heard, now)) {
        m_observers.on_departure(heard);
    }
}

void server_news::observe_crash(policy::server_key server, std::span<const policy::crash_suspect> suspects,
                                policy::time_point now) {
    m_observers.on_crashes(m_crashes.observe_crash(server, suspects, now), m_self);
}

void server_news::observe_answer(std::span<const policy::crash_suspect> suspects, policy::time_point now) {
    m_observers.on_crashes(m_crashes.observe_answer(suspects, now), m_self);
}

void server_news::clear_suspects(std::span<const policy::crash_suspect> suspects, policy::time_point now) {
    m_observers.on_crashes(m_crashes.clear(suspects, now), m_self);
}

void server_news::merge(policy::member_key member, const datagram& message, policy::time_point now) {
    m_rate_limits.check_clock();
    m_rate_limits.merge(message.items.rate_limits);
    for (const auto& heard : message.items.departures) {
        add_departure(heard, now);
    }
    m_observers.on_crashes(m_crashes.merge(message.items.crashes, now), member);
    if (m_rate_limits.is_new_process(member, message.sender.incarnation)) {
        greet(member, now);
    }
}

void server_news::greet(policy::member_key member, policy::time_point now) {
    if (!m_departures.is_empty()) {
        batch_items greeting;
        greeting.departures = m_departures.latest();
        m_observers.send(member, std::move(greeting));
    }
    if (auto known = m_ledger.state(now); !known.is_empty()) {
        batch_items greeting;
        greeting.crashes = std::move(known);
        m_observers.send(member, std::move(greeting));
    }
    for (auto& notices : m_rate_limits.list_for_new_process()) {
        batch_items greeting;
        greeting.rate_limits = std::move(notices);
        m_observers.send(member, std::move(greeting));
    }
}

batch_items server_news::for_heartbeat(policy::time_point now) {
    batch_items items;
    items.rate_limits = m_rate_limits.take_next();
    items.crashes = m_crashes.recent(now);
    return items;
}

void server_news::add_to_session(batch_items& first, policy::time_point now) const {
    first.rate_limits = m_rate_limits.list_for_session();
    first.departures = m_departures.latest();
    first.crashes = m_ledger.state(now);
}

} // namespace borageford::coordination
