// Chooses the source of slots according to the messages received from other members. After each change, the
// requests that wait for a slot or occupy one are reported to the new source.
#include "base/identifier.hpp"
#include "coordination/broker_events.hpp"
#include "coordination/slot_broker.hpp"

#include <utility>

namespace borageford::coordination {

using std::chrono::milliseconds;

namespace {

/// A member starts a new session when its oldest batch isn't acknowledged for this long, which leaves time
/// for some retransmissions.
constexpr milliseconds session_timeout{250};
/// How long a process that has just started waits for a first message of another one before it grants slots.
constexpr milliseconds learning_time{400};
/// A coordinator that has received nothing from a member for this long leaves the member's share of the retry
/// reserve alone. The member may have lost the coordinator (after election_limits::response_timeout) and use
/// its share by itself.
constexpr milliseconds retry_share_timeout{300};
/// For this long a new coordinator leaves the shares of the retry reserve of members that haven't attached to
/// it: longer than the window of the budget, in which they may have used them without a coordinator.
constexpr milliseconds retry_share_settling{12000};

/// A new coordinator accepts no probe of a quarantined prompt part for this long: one that its predecessor
/// accepted may still run.
constexpr milliseconds probe_settling{3000};

} // namespace

std::string_view to_string(slot_source source) noexcept {
    switch (source) {
    case slot_source::coordinator:
        return "coordinator";
    case slot_source::own_coordination:
        return "own_coordination";
    case slot_source::local_share:
        break;
    }
    return "own_part";
}

void slot_broker::choose_source(policy::time_point now) {
    if (!m_settings.coordinates) {
        update_shares(now);
        return;
    }
    const auto choice = m_election.choose(now);
    using role = policy::coordinator_election::role;
    if (choice.who == role::self) {
        if (m_source != slot_source::own_coordination) {
            use_local_source(slot_source::own_coordination);
        }
    } else if (choice.who == role::other && m_election.has_reported_acting(choice.member)) {
        const bool is_attached = m_source == slot_source::coordinator &&
                                 m_coordinating_member == choice.member && !has_session_timed_out(now);
        if (!is_attached) {
            attach_to(choice.member);
        }
    } else if (m_source != slot_source::local_share) {
        use_local_source(slot_source::local_share);
    }
    m_election.set_acting(m_source == slot_source::own_coordination);
    m_coordinator.set_accepting_probes(m_source == slot_source::own_coordination &&
                                       now - m_source_since >= probe_settling);
    update_shares(now);
}

/// Whether this process receives messages from the coordinator but no acknowledgements. The coordinator has
/// then dropped this process and its session, for instance because the network failed in this one direction
/// only.
bool slot_broker::has_session_timed_out(policy::time_point now) const {
    const auto oldest = m_upstream->oldest_unacknowledged();
    return oldest.has_value() && now - *oldest > session_timeout;
}

/// Lists what a new source of slots must know of the requests of this process.
batch_items slot_broker::list_own_items(policy::time_point now) {
    auto items = m_requests.list_all();
    items.promises = m_told_promises.list(now);
    return items;
}

void slot_broker::attach_to(policy::member_key coordinator) {
    const auto before = std::exchange(m_source, slot_source::coordinator);
    m_source_since = clock::now();
    detach_members(clock::now());
    m_coordinator.detach(m_self, clock::now());
    m_deferred.clear(); // list_own_items() below includes these requests
    m_coordinating_member = coordinator;
    m_upstream.emplace(identifier::random().low);
    m_upstream->pending() = list_own_items(clock::now());
    m_news.add_to_session(m_upstream->pending(), clock::now());
    // Not m_retries.state(): a statement that is 40 ms old may lack the last retries that this process
    // granted.
    m_upstream->pending().retries = m_coordinator.retry_budget().statement(clock::now());
    m_upstream->pending().backoffs = m_coordinator.scheduler().list_backoffs(m_self, clock::now());
    m_upstream->pending().reports =
        m_coordinator.scheduler().report_servers(max_initial_reports, clock::now());
    schedule_flush();
    report_source_change(before);
}

void slot_broker::use_local_source(slot_source source) {
    const auto now = clock::now();
    const auto before = std::exchange(m_source, source);
    m_source_since = now;
    update_shares(now);
    m_coordinator.scheduler().restart_rate_limits(now);
    if (source == slot_source::local_share) {
        detach_members(now);
    }
    if (before == slot_source::coordinator) {
        m_uncoordinated_since = now;
        m_upstream.reset();
        m_coordinator.apply_items(m_self, list_own_items(now), now);
    }
    schedule_flush();
    report_source_change(before);
}

void slot_broker::update_shares(policy::time_point now) {
    const auto known = m_election.member_count();
    if (m_source == slot_source::own_coordination) {
        const auto attached = m_members.size() + 1;
        const double share = m_active_members.coordinator_share(attached, now);
        m_coordinator.set_shares({1, share, coordinator_retry_share(attached, now)}, now);
        m_coordinator.set_rate_share({m_active_members.coordinator_rate_share(attached, known, now), false},
                                     now);
        return;
    }
    const double share = m_active_members.local_share(known);
    m_coordinator.set_shares({share, share, share}, now);
    const double rate_share = m_settings.coordinates ? m_active_members.local_rate_share(known, now) : share;
    m_coordinator.set_rate_share({rate_share, true}, now);
}

/// The share of the retry reserve of a coordinator with `attached` members, itself included.
double slot_broker::coordinator_retry_share(std::size_t attached, policy::time_point now) {
    const bool is_settled = now - m_source_since >= retry_share_settling;
    const double share =
        is_settled ? m_active_members.coordinator_share(attached, now)
                   : m_active_members.new_coordinator_share(attached, m_election.member_count(), now);
    const auto heard = m_members.count_heard_since(now - retry_share_timeout) + 1;
    return share * static_cast<double>(heard) / static_cast<double>(attached);
}

/// Whether this process has a coordinator, or coordinates at least half of the members that it counts.
bool slot_broker::is_connected() const {
    if (m_source != slot_source::own_coordination) {
        return m_source == slot_source::coordinator;
    }
    return (m_members.size() + 1) * 2 >= m_active_members.count();
}

/// True after a start and after the loss of a coordinator, for the time in which another process is likely to
/// become the coordinator. This includes a process that coordinates, while no other member has attached to
/// it.
bool slot_broker::expects_coordinator(policy::time_point now) const {
    const bool is_alone = m_source != slot_source::coordinator && m_members.is_empty();
    return is_alone && m_election.member_count() > 1 &&
           now - m_uncoordinated_since < m_settings.coordinator_patience;
}

/// True after a start until another process has answered, or until it is unlikely that one will. A process
/// that has just started doesn't know the servers' rate limits, and would grant slots as if there were none.
bool slot_broker::is_learning(policy::time_point now) const {
    return !m_has_heard_member && m_election.member_count() > 1 && now - m_started < learning_time;
}

void slot_broker::report_source_change(slot_source before) const {
    const bool has_coordinator = m_source == slot_source::coordinator;
    log_source_change({to_string(before), to_string(m_source),
                       has_coordinator ? m_coordinating_member : m_self, m_requests.waiting(),
                       m_requests.running()});
}

} // namespace borageford::coordination
