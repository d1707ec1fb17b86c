// Implements slot_load with a step of a few milliseconds.
#include "support/slot_load.hpp"

namespace borageford::test {

using namespace policy;
using namespace std::chrono_literals;

namespace {

constexpr service_key engines = 77;
constexpr auto step = 5ms;
constexpr server_key servers_per_group = 1000; ///< servers are numbered from this times the group's index

} // namespace

slot_load::slot_load(slot_scheduler_limits limits, std::vector<server_group> groups)
    : m_limits(limits),
      m_groups(std::move(groups)),
      m_scheduler(make_scheduler()),
      m_now(time_point{} + 1h) {}

slot_scheduler slot_load::make_scheduler() const {
    slot_scheduler result(m_limits);
    for (std::size_t group = 0; group < m_groups.size(); ++group) {
        for (unsigned server = 1; server <= m_groups[group].servers; ++server) {
            result.set_server(group * servers_per_group + server, engines, m_groups[group].slots);
        }
    }
    return result;
}

void slot_load::run(const std::vector<tier_load>& load, duration length) {
    const auto end = m_now + length;
    for (; m_now < end; m_now += step) {
        finish_due();
        for (const auto& tier : load) {
            arrive(tier);
        }
        start_granted();
        static_cast<void>(m_scheduler.take_refusals());
    }
}

void slot_load::change_coordinator() {
    m_scheduler = make_scheduler();
    for (const auto& [end, running] : m_running) {
        const auto [ticket, server] = running.grant;
        m_scheduler.add_running({ticket, server, engines, m_requests.at(ticket).tier}, m_now);
    }
}

void slot_load::lose_servers(std::size_t group) {
    const auto is_lost = [group](server_key server) {
        return server / servers_per_group == group;
    };
    for (auto running = m_running.begin(); running != m_running.end();) {
        const auto [ticket, server] = running->second.grant;
        if (is_lost(server)) {
            m_scheduler.release({ticket, server, slot_outcome::broken, 10ms, {}}, m_now);
            running = m_running.erase(running);
        } else {
            ++running;
        }
    }
    for (unsigned server = 1; server <= m_groups[group].servers; ++server) {
        m_scheduler.remove_server(group * servers_per_group + server);
    }
    m_groups[group].servers = 0;
}

double slot_load::slot_share(int tier) {
    duration all{};
    for (const auto& [other, granted] : m_granted_time) {
        all += granted;
    }
    return to_seconds(m_granted_time[tier]) / to_seconds(all);
}

void slot_load::arrive(const tier_load& tier) {
    auto& due = m_due[tier.tier];
    for (due += tier.per_second * to_seconds(step); due >= 1; --due) {
        slot_request request;
        request.ticket = ++m_last_ticket;
        request.service = engines;
        request.tier = tier.tier;
        request.arrived = m_now;
        request.deadline = m_now + 10s;
        request.target = tier.target;
        m_requests[request.ticket] = tier;
        m_arrivals[request.ticket] = m_now;
        ++m_results[tier.tier].sent;
        m_scheduler.add(request, m_now);
    }
}

void slot_load::start_granted() {
    for (const auto& grant : m_scheduler.grant(m_now)) {
        const auto& tier = m_requests.at(grant.ticket);
        const auto& server = m_groups[grant.server / servers_per_group];
        const auto busy = from_seconds(to_seconds(tier.slot_time) / server.speed);
        auto& result = m_results[tier.tier];
        ++result.served;
        result.prompt += m_now - m_arrivals.at(grant.ticket) <= tier.target / 2 ? 1 : 0;
        m_granted_time[tier.tier] += busy;
        m_running.emplace(m_now + busy, started{grant, busy});
    }
}

void slot_load::finish_due() {
    while (!m_running.empty() && m_running.begin()->first <= m_now) {
        const auto [grant, busy] = m_running.begin()->second;
        m_running.erase(m_running.begin());
        m_scheduler.release({grant.ticket, grant.server, slot_outcome::served, busy, 50ms}, m_now);
    }
}

} // namespace borageford::test
