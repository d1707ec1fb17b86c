// Distributes requests over one or several instances of policy::slot_scheduler, depending on the layout.
#include "emulator/slot_deciders.hpp"

#include <algorithm>

namespace borageford::emulator {

namespace {

/// The number of engines to which a request is offered at once in the layout slot_layout::offered.
constexpr std::size_t offers_per_request = 2;

/// The number of processes that decide about slots.
std::size_t count_deciders(const trial_options& options) {
    switch (options.layout) {
    case slot_layout::one_coordinator:
        return 1;
    case slot_layout::divided:
    case slot_layout::delayed_updates:
    case slot_layout::owned:
        return options.gateways;
    case slot_layout::offered:
        break;
    }
    return options.engines.size();
}

/// Whether a decider grants slots of an engine.
bool decides_about(const trial_options& options, std::size_t decider, std::size_t engine) {
    switch (options.layout) {
    case slot_layout::one_coordinator:
    case slot_layout::divided:
    case slot_layout::delayed_updates:
        return true;
    case slot_layout::owned:
        return engine % options.gateways == decider;
    case slot_layout::offered:
        break;
    }
    return engine == decider;
}

} // namespace

slot_deciders::slot_deciders(const trial_options& options)
    : m_layout(options.layout), m_update_delay(options.update_delay) {
    auto limits = options.limits;
    if (options.layout == slot_layout::divided) {
        limits.share = 1 / static_cast<double>(options.gateways);
    }
    for (std::size_t decider = 0; decider < count_deciders(options); ++decider) {
        auto& scheduler = m_schedulers.emplace_back(limits);
        for (std::size_t engine = 0; engine < options.engines.size(); ++engine) {
            if (decides_about(options, decider, engine)) {
                scheduler.set_server(key_of(engine), service, options.engines[engine].slots);
            }
        }
    }
}

std::vector<std::size_t> slot_deciders::choose_deciders() {
    const auto first = m_random.below(m_schedulers.size());
    if (m_layout != slot_layout::offered) {
        return {first};
    }
    std::vector<std::size_t> chosen{first};
    while (chosen.size() < std::min(offers_per_request, m_schedulers.size())) {
        const auto next = m_random.below(m_schedulers.size());
        if (std::ranges::find(chosen, next) == chosen.end()) {
            chosen.push_back(next);
        }
    }
    return chosen;
}

void slot_deciders::add(const policy::slot_request& request, time_point now) {
    auto chosen = choose_deciders();
    m_deciders_by_ticket[request.ticket] = chosen;
    for (const auto decider : chosen) {
        m_schedulers[decider].add(request, now);
    }
}

void slot_deciders::withdraw(policy::slot_ticket ticket) {
    for (const auto decider : m_deciders_by_ticket[ticket]) {
        m_schedulers[decider].withdraw(ticket);
    }
    m_deciders_by_ticket.erase(ticket);
}

void slot_deciders::release(const policy::slot_release& ended, time_point now) {
    const auto found = m_deciders_by_ticket.find(ended.ticket);
    if (found == m_deciders_by_ticket.end()) {
        return;
    }
    const auto decider = found->second.front();
    m_schedulers[decider].release(ended, now);
    publish_update(decider, ended.ticket, ended.server, true, now);
    m_deciders_by_ticket.erase(found);
}

void slot_deciders::publish_update(std::size_t from, policy::slot_ticket ticket, policy::server_key server,
                                   bool has_ended, time_point now) {
    if (m_layout == slot_layout::delayed_updates) {
        m_pending_updates.push({now + m_update_delay, from, ticket, server, has_ended});
    }
}

void slot_deciders::apply_updates(time_point now) {
    while (!m_pending_updates.empty() && m_pending_updates.front().at <= now) {
        const auto update = m_pending_updates.front();
        m_pending_updates.pop();
        for (std::size_t decider = 0; decider < m_schedulers.size(); ++decider) {
            if (decider == update.from) {
                continue;
            }
            if (update.has_ended) {
                m_schedulers[decider].release(
                    {update.ticket, update.server, policy::slot_outcome::abandoned, {}, {}}, now);
            } else {
                m_schedulers[decider].add_running({update.ticket, update.server, 0, 0}, now);
            }
        }
    }
}

std::vector<policy::slot_grant> slot_deciders::grant(time_point now) {
    apply_updates(now);
    std::vector<policy::slot_grant> grants;
    for (std::size_t decider = 0; decider < m_schedulers.size(); ++decider) {
        for (const auto& grant : m_schedulers[decider].grant(now)) {
            auto& deciders = m_deciders_by_ticket[grant.ticket];
            for (const auto other : deciders) {
                if (other != decider) {
                    m_schedulers[other].withdraw(grant.ticket);
                }
            }
            deciders = {decider};
            publish_update(decider, grant.ticket, grant.server, false, now);
            grants.push_back(grant);
        }
    }
    return grants;
}

std::vector<policy::slot_refusal> slot_deciders::take_refusals() {
    std::vector<policy::slot_refusal> refusals;
    for (std::size_t decider = 0; decider < m_schedulers.size(); ++decider) {
        for (const auto& refusal : m_schedulers[decider].take_refusals()) {
            auto& deciders = m_deciders_by_ticket[refusal.ticket];
            std::erase(deciders, decider);
            // In the layout slot_layout::offered, the request may still wait at another engine's decider.
            if (deciders.empty()) {
                m_deciders_by_ticket.erase(refusal.ticket);
                refusals.push_back(refusal);
            }
        }
    }
    return refusals;
}

} // namespace borageford::emulator
