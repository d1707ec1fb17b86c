// Implementation of rollout_keeper: which servers get slots follows from the phase of the roll-out.
#include "gateway/rollout_keeper.hpp"

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

rollout_keeper::rollout* rollout_keeper::find(std::string_view service) {
    const auto found = m_rollouts.find(service);
    return found == m_rollouts.end() ? nullptr : &found->second;
}

void rollout_keeper::set_order(const routing::rollout_order& order) {
    if (const auto* known = find(order.service); known != nullptr && known->course.to() == order.to) {
        return;
    }
    m_rollouts.insert_or_assign(order.service, rollout{{order.to, order.duration, steady_clock::now()}});
    events::write(events::event_kind::rollout_ordered,
                  {{"service", order.service},
                   {"software", order.to},
                   {"duration_ms", std::int64_t(order.duration.count())}});
    review(order.service);
}

void rollout_keeper::withdraw_order(std::string_view service) {
    if (const auto found = m_rollouts.find(service); found != m_rollouts.end()) {
        m_rollouts.erase(found);
        events::write(events::event_kind::rollout_withdrawn, {{"service", service}});
        review(service);
    }
}

void rollout_keeper::take_status(const routing::rollout_status& status) {
    auto* moving = find(status.service);
    if (moving == nullptr || moving->course.to() != status.to) {
        return;
    }
    if (status.state == routing::rollout_state::running) {
        moving->course.begin();
    } else if (moving->course.phase() != final_phase(status.state)) {
        moving->course.adopt(final_phase(status.state));
        report(status.service, *moving);
    }
    review(status.service);
}

void rollout_keeper::take_return() {
    for (auto& [service, moving] : m_rollouts) {
        moving.is_recorded = false;
        if (moving.course.is_over() && m_observers.decides()) {
            record_verdict(service, moving);
        }
    }
}

void rollout_keeper::record_verdict(const std::string& service, const rollout& moving) const {
    const bool is_good = moving.course.phase() == rollout_phase::completed;
    m_observers.record({service, moving.course.to(),
                        is_good ? routing::rollout_state::completed : routing::rollout_state::rolled_back});
}

void rollout_keeper::give_slots(const routing::backend_record& record) {
    if (!is_to_hold_back(record)) {
        m_held_back.erase(record.id);
        m_slots.set_server(record.key(), hash_bytes(record.service), record.slots,
                           policy::domain_key_of(record.failure_domain));
        return;
    }
    m_slots.remove_server(record.key());
    if (m_held_back.insert(record.id).second) {
        events::write(events::event_kind::backend_held_back,
                      {{"backend", record.id}, {"service", record.service}, {"software", record.version}});
    }
}

void rollout_keeper::take_slots(const routing::backend_record& record) {
    m_held_back.erase(record.id);
    m_slots.remove_server(record.key());
}

bool rollout_keeper::is_to_hold_back(const routing::backend_record& record) {
    const auto* moving = find(record.service);
    if (moving == nullptr) {
        return false;
    }
    const auto& course = moving->course;
    const bool is_next = record.version == course.to();
    switch (course.phase()) {
    case rollout_phase::finishing:
    case rollout_phase::completed:
        return !is_next;
    case rollout_phase::rolled_back:
        return is_next;
    case rollout_phase::probing:
        return is_next && record.id != moving->open;
    case rollout_phase::waiting:
        break;
    }
    // After the order's end the new version gets slots if no server of another version accepts work.
    // Otherwise all requests would be refused for good.
    const bool is_late = steady_clock::now() >= course.end();
    return is_next && (!is_late || moving->has_former);
}

bool rollout_keeper::has_other_versions(std::string_view service, std::string_view than) const {
    return std::ranges::any_of(m_backends.all(), [&](const auto& entry) {
        const auto& record = entry.second->record();
        return record.service == service && record.version != than && takes_work(record);
    });
}

bool rollout_keeper::is_former_idle(std::string_view service, std::string_view to) const {
    return std::ranges::all_of(m_backends.all(), [&](const auto& entry) {
        const auto& record = entry.second->record();
        const bool is_former = record.service == service && record.version != to;
        return !is_former || m_slots.outstanding(record.key()) == 0;
    });
}

void rollout_keeper::note_grant(policy::server_key server) {
    const auto given = m_rollouts.empty() ? nullptr : m_backends.find(server);
    auto* moving = given != nullptr ? find(given->record().service) : nullptr;
    if (moving == nullptr) {
        return;
    }
    moving->course.record_grant(given->record().version == moving->course.to());
    const bool is_over_share = !moving->open.empty() && !moving->course.has_room_for_next();
    if (moving->course.phase() == rollout_phase::probing && is_over_share) {
        const auto server_id = std::exchange(moving->open, {});
        if (const auto open = m_backends.find_id(server_id)) {
            give_slots(open->record());
        }
    }
}

void rollout_keeper::note_release(const policy::slot_release& ended) {
    const auto left = m_rollouts.empty() ? nullptr : m_backends.find(ended.server);
    auto* moving = left != nullptr ? find(left->record().service) : nullptr;
    const bool has_answered = ended.outcome == policy::slot_outcome::served ||
                              ended.outcome == policy::slot_outcome::failed ||
                              ended.outcome == policy::slot_outcome::broken;
    if (moving == nullptr || !has_answered) {
        return;
    }
    const bool has_events = ended.first_event > policy::duration::zero();
    moving->course.record_answer(
        left->record().version == moving->course.to(),
        {ended.outcome != policy::slot_outcome::served, has_events ? ended.first_event : ended.busy});
}

void rollout_keeper::tick() {
    for (auto& [service, moving] : m_rollouts) {
        follow_decider(service, moving);
        advance(service, moving);
        review(service);
    }
}

void rollout_keeper::follow_decider(const std::string& service, rollout& moving) {
    if (!m_observers.decides()) {
        moving.course.pause();
        moving.is_recorded = false;
    } else if (!moving.course.is_over() && !std::exchange(moving.is_recorded, true)) {
        m_observers.record({service, moving.course.to(), routing::rollout_state::running});
    }
}

void rollout_keeper::advance(const std::string& service, rollout& moving) {
    const auto before = moving.course.phase();
    const bool is_idle = before == rollout_phase::finishing && is_former_idle(service, moving.course.to());
    moving.course.advance(is_idle, steady_clock::now());
    choose_open(service, moving);
    const auto after = moving.course.phase();
    if (after == before) {
        return;
    }
    report(service, moving);
    if (moving.course.is_over()) {
        record_verdict(service, moving);
    }
}

/// Selects the server of the new version that may get requests during the canary phase. The servers take
/// turns, so that each is tried, and the slots of one server bound the load on the new version at any moment.
void rollout_keeper::choose_open(const std::string& service, rollout& moving) {
    const bool may_open =
        moving.course.phase() == rollout_phase::probing && moving.course.has_room_for_next();
    if (!may_open) {
        moving.open.clear();
        return;
    }
    std::string first;
    std::string following;
    for (const auto& [id, server] : m_backends.all()) {
        const auto& record = server->record();
        if (record.service != service || record.version != moving.course.to() || !takes_work(record)) {
            continue;
        }
        first = first.empty() ? id : first;
        following = following.empty() && id > moving.last_open ? id : following;
    }
    moving.open = following.empty() ? first : following;
    moving.last_open = moving.open;
}

void rollout_keeper::report(const std::string& service, const rollout& moving) const {
    const auto& judgement = moving.course.judgement();
    events::write(events::event_kind::rollout_moved, {{"service", service},
                                                      {"software", moving.course.to()},
                                                      {"phase", policy::to_string(moving.course.phase())},
                                                      {"answers", std::uint64_t(judgement.seen())},
                                                      {"bad", std::uint64_t(judgement.bad())}});
}

/// Gives or withholds slots where the decision has changed, since it depends on the phase and on which
/// servers are registered.
void rollout_keeper::review(std::string_view service) {
    if (auto* moving = find(service)) {
        moving->has_former = has_other_versions(service, moving->course.to());
    }
    for (const auto& [id, server] : m_backends.all()) {
        const auto& record = server->record();
        const bool concerns = record.service == service && takes_work(record);
        if (concerns && is_to_hold_back(record) != m_held_back.contains(id)) {
            give_slots(record);
        }
    }
}

} // namespace borageford::gateway
