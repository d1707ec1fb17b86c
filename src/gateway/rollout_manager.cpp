// Implementation of rollout_manager: which servers get slots follows from the phase of the roll-out.
#include "gateway/rollout_manager.hpp"

#include "base/hash.hpp"
#include "events/event_log.hpp"

#include <algorithm>
#include <utility>

namespace borageford::gateway {

using policy::rollout_phase;
using std::chrono::steady_clock;

namespace {

rollout_phase final_phase(routing::rollout_state state) {
    return state == routing::rollout_state::completed ? rollout_phase::completed : rollout_phase::rolled_back;
}

bool takes_work(const routing::backend_record& record) {
    return record.state == routing::backend_state::ready;
}

} // namespace

rollout_manager::rollout* rollout_manager::find(std::string_view service) {
    const auto found = m_rollouts.find(service);
    return found == m_rollouts.end() ? nullptr : &found->second;
}

void rollout_manager::set_order(const routing::rollout_order& order) {
    if (const auto* known = find(order.service); known != nullptr && known->progress.to() == order.to) {
        return;
    }
    m_rollouts.insert_or_assign(order.service, rollout{{order.to, order.duration, steady_clock::now()}});
    events::write(events::event_kind::rollout_ordered,
                  {{"service", order.service},
                   {"software", order.to},
                   {"duration_ms", std::int64_t(order.duration.count())}});
    review(order.service);
}

void rollout_manager::withdraw_order(std::string_view service) {
    if (const auto found = m_rollouts.find(service); found != m_rollouts.end()) {
        m_rollouts.erase(found);
        events::write(events::event_kind::rollout_withdrawn, {{"service", service}});
        review(service);
    }
}

void rollout_manager::apply_status(const routing::rollout_status& status) {
    auto* current = find(status.service);
    if (current == nullptr || current->progress.to() != status.to) {
        return;
    }
    if (status.state == routing::rollout_state::running) {
        current->progress.begin();
    } else if (current->progress.phase() != final_phase(status.state)) {
        current->progress.adopt(final_phase(status.state));
        report(status.service, *current);
    }
    review(status.service);
}

void rollout_manager::handle_store_restore() {
    for (auto& [service, current] : m_rollouts) {
        current.is_recorded = false;
        if (current.progress.is_over() && m_observers.is_coordinating()) {
            record_verdict(service, current);
        }
    }
}

void rollout_manager::record_verdict(const std::string& service, const rollout& current) const {
    const bool is_good = current.progress.phase() == rollout_phase::completed;
    m_observers.record({service, current.progress.to(),
                        is_good ? routing::rollout_state::completed : routing::rollout_state::rolled_back});
}

void rollout_manager::update_slots(const routing::backend_record& record) {
    const bool is_withheld = should_withhold(record);
    if (is_withheld && !may_resume_streams(record)) {
        m_slots.remove_server(record.key());
    } else {
        m_slots.set_server(record.key(), hash_bytes(record.service), record.slots,
                           policy::domain_key_of(record.failure_domain),
                           {policy::software_key_of(record.version), is_withheld});
    }
    if (!is_withheld) {
        m_withheld.erase(record.id);
    } else if (m_withheld.insert(record.id).second) {
        events::write(events::event_kind::backend_held_back,
                      {{"backend", record.id}, {"service", record.service}, {"software", record.version}});
    }
}

void rollout_manager::withdraw_slots(const routing::backend_record& record) {
    m_withheld.erase(record.id);
    m_slots.remove_server(record.key());
}

bool rollout_manager::should_withhold(const routing::backend_record& record) {
    const auto* current = find(record.service);
    if (current == nullptr) {
        return false;
    }
    const auto& progress = current->progress;
    const bool is_next = record.version == progress.to();
    switch (progress.phase()) {
    case rollout_phase::finishing:
    case rollout_phase::completed:
        return !is_next;
    case rollout_phase::rolled_back:
        return is_next;
    case rollout_phase::probing:
        return is_next && record.id != current->canary;
    case rollout_phase::waiting:
        break;
    }
    // After the order's end the new version gets slots if no server of another version accepts work.
    // Otherwise all requests would be refused for good.
    const bool is_late = steady_clock::now() >= progress.end();
    return is_next && (!is_late || current->has_previous);
}

/// Whether a server whose slots are withheld may go on with the streams that its version began. A stream
/// can't go on at another version, so it would be lost otherwise. A version that was rejected gets nothing
/// more, and the servers of a version that was replaced end.
bool rollout_manager::may_resume_streams(const routing::backend_record& record) const {
    const auto current = m_rollouts.find(record.service);
    return current != m_rollouts.end() && !current->second.progress.is_over();
}

bool rollout_manager::has_other_versions(std::string_view service, std::string_view than) const {
    return std::ranges::any_of(m_backends.all(), [&](const auto& entry) {
        const auto& record = entry.second->record();
        return record.service == service && record.version != than && takes_work(record);
    });
}

bool rollout_manager::is_previous_idle(std::string_view service, std::string_view to) const {
    return std::ranges::all_of(m_backends.all(), [&](const auto& entry) {
        const auto& record = entry.second->record();
        const bool is_previous = record.service == service && record.version != to;
        return !is_previous || m_slots.outstanding(record.key()) == 0;
    });
}

void rollout_manager::record_grant(policy::server_key server) {
    const auto given = m_rollouts.empty() ? nullptr : m_backends.find(server);
    auto* current = given != nullptr ? find(given->record().service) : nullptr;
    if (current == nullptr) {
        return;
    }
    current->progress.record_grant(given->record().version == current->progress.to());
    const bool is_over_share = !current->canary.empty() && !current->progress.can_grant_to_new_version();
    if (current->progress.phase() == rollout_phase::probing && is_over_share) {
        const auto server_id = std::exchange(current->canary, {});
        if (const auto canary = m_backends.find_id(server_id)) {
            update_slots(canary->record());
        }
    }
}

void rollout_manager::record_release(const policy::slot_release& ended) {
    const auto left = m_rollouts.empty() ? nullptr : m_backends.find(ended.server);
    auto* current = left != nullptr ? find(left->record().service) : nullptr;
    const bool has_answered = ended.outcome == policy::slot_outcome::served ||
                              ended.outcome == policy::slot_outcome::failed ||
                              ended.outcome == policy::slot_outcome::broken;
    if (current == nullptr || !has_answered) {
        return;
    }
    const bool has_events = ended.first_event > policy::duration::zero();
    current->progress.record_answer(
        left->record().version == current->progress.to(),
        {ended.outcome != policy::slot_outcome::served, has_events ? ended.first_event : ended.busy});
}

void rollout_manager::tick() {
    for (auto& [service, current] : m_rollouts) {
        follow_coordination(service, current);
        advance(service, current);
        review(service);
    }
}

void rollout_manager::follow_coordination(const std::string& service, rollout& current) {
    if (!m_observers.is_coordinating()) {
        current.progress.pause();
        current.is_recorded = false;
    } else if (!current.progress.is_over() && !std::exchange(current.is_recorded, true)) {
        m_observers.record({service, current.progress.to(), routing::rollout_state::running});
    }
}

void rollout_manager::advance(const std::string& service, rollout& current) {
    const auto before = current.progress.phase();
    const bool is_idle =
        before == rollout_phase::finishing && is_previous_idle(service, current.progress.to());
    current.progress.advance(is_idle, steady_clock::now());
    choose_canary(service, current);
    const auto after = current.progress.phase();
    if (after == before) {
        return;
    }
    report(service, current);
    if (current.progress.is_over()) {
        record_verdict(service, current);
    }
}

/// Selects the server of the new version that may get requests during the canary phase. The servers take
/// turns, so that each is tried, and the slots of one server bound the load on the new version at any moment.
void rollout_manager::choose_canary(const std::string& service, rollout& current) {
    const bool has_canary =
        current.progress.phase() == rollout_phase::probing && current.progress.can_grant_to_new_version();
    if (!has_canary) {
        current.canary.clear();
        return;
    }
    std::string first;
    std::string following;
    for (const auto& [id, server] : m_backends.all()) {
        const auto& record = server->record();
        if (record.service != service || record.version != current.progress.to() || !takes_work(record)) {
            continue;
        }
        first = first.empty() ? id : first;
        following = following.empty() && id > current.last_canary ? id : following;
    }
    current.canary = following.empty() ? first : following;
    current.last_canary = current.canary;
}

void rollout_manager::report(const std::string& service, const rollout& current) const {
    const auto& analysis = current.progress.analysis();
    events::write(events::event_kind::rollout_moved, {{"service", service},
                                                      {"software", current.progress.to()},
                                                      {"phase", policy::to_string(current.progress.phase())},
                                                      {"answers", std::uint64_t(analysis.seen())},
                                                      {"bad", std::uint64_t(analysis.bad())}});
}

/// Gives or withholds slots where the decision has changed, since it depends on the phase and on which
/// servers are registered.
void rollout_manager::review(std::string_view service) {
    bool has_ended = false;
    if (auto* current = find(service)) {
        current->has_previous = has_other_versions(service, current->progress.to());
        const bool is_over = current->progress.is_over();
        has_ended = std::exchange(current->was_over, is_over) != is_over;
    }
    for (const auto& [id, server] : m_backends.all()) {
        const auto& record = server->record();
        const bool concerns = record.service == service && takes_work(record);
        if (concerns && (has_ended || should_withhold(record) != m_withheld.contains(id))) {
            update_slots(record);
        }
    }
}

} // namespace borageford::gateway
