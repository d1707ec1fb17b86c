// Passes slot requests to the source of slots, and decisions back. How the source is chosen is in
// slot_broker_source.cpp.
#include "coordination/slot_broker.hpp"

#include "base/identifier.hpp"
#include "coordination/broker_events.hpp"

#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <string>
#include <utility>

namespace borageford::coordination {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds tick_period{50};
/// While there are unacknowledged batches, this is the time between two checks whether to send them again.
constexpr milliseconds retransmit_check{6};
/// The coordinator drops a member from which it receives no message for this long; its slots become free.
constexpr milliseconds member_timeout{600};
/// With at most this many members, keepers are told a stream at the next tick and not with the next
/// heartbeat, which a gateway that is killed may not send any more. With hundreds, that would be too many
/// datagrams.
constexpr std::size_t max_members_told_at_once = 32;

/// The key of a member is its IPv4 address; 0 for an IPv6 address, which has no key.
policy::member_key key_of(const asio::ip::address& address) {
    return address.is_v4() ? address.to_v4().to_uint() : 0;
}

} // namespace

slot_broker::slot_broker(asio::any_io_executor executor, timer_service& timers, broker_settings settings,
                         observers callbacks)
    : m_executor(std::move(executor)),
      m_timers(timers),
      m_settings(settings),
      m_observers(std::move(callbacks)),
      m_incarnation(identifier::random().low),
      m_tickets(m_incarnation),
      m_self(key_of(settings.local.address())),
      m_election(m_self, settings.processor_share, settings.election, clock::now()),
      m_coordinator(settings.slots, settings.quotas, settings.retries, m_incarnation, clock::now()),
      m_news(
          m_coordinator.crashes(), m_self, m_incarnation,
          {[this](const policy::rate_limit_table::change& change) { apply_rate_limit(change); },
           [this](const policy::departure& heard) { apply_departure(heard); },
           [this](const policy::crash_statement& news, policy::member_key source) { pass_on(news, source); },
           [this](policy::member_key member, batch_items items) {
               datagram message;
               message.items = std::move(items);
               send(member, std::move(message));
           },
           {m_observers.on_crash_mark, m_observers.on_crash_clearance}}),
      m_retries(m_coordinator.retry_budget(), m_observers.on_retry_use),
      m_streams(settings.stream_memory, settings.is_first_start ? policy::time_point::min() : clock::now(),
                {[this] { return stream_keepers(); },
                 [this](policy::member_key member, stream_items items) {
                     datagram message;
                     message.streams = std::move(items);
                     send(member, std::move(message));
                 },
                 m_observers.server_table}) {}

void slot_broker::start() {
    m_socket.emplace(m_executor, m_settings.local,
                     [this](const asio::ip::udp::endpoint& from, std::span<const std::byte> bytes) {
                         receive(from, bytes);
                     });
    m_started = clock::now();
    m_uncoordinated_since = m_started;
    if (m_settings.is_first_start) {
        m_coordinator.retry_budget().knowledge().assume_nothing_before(m_started);
    }
    update_shares(m_started);
    m_tick_timer = m_timers.every(m_executor, tick_period, [this] { tick(); });
}

void slot_broker::leave() {
    m_election.leave();
    std::vector<policy::member_key> receivers = m_election.candidates(clock::now());
    std::ranges::copy(m_members.members(), std::back_inserter(receivers));
    choose_source(clock::now());
    // The status is sent at once, because the other members keep sending slot requests to this process, where
    // they would wait in vain, until they know that it shuts down.
    for (const auto member : receivers) {
        send(member, {});
    }
}

void slot_broker::add_member(const asio::ip::address& address, double processor_share) {
    if (key_of(address) != 0) {
        m_election.add(key_of(address), processor_share);
    }
}

void slot_broker::set_server(policy::server_key server, policy::service_key service, unsigned slots,
                             policy::domain_key domain, policy::server_software software) {
    if (has_departed(server)) {
        return;
    }
    m_coordinator.scheduler().set_server(server, service, slots, domain, software);
    limit_rate(server, m_news.rate_limit_of(server));
    schedule_flush();
}

void slot_broker::remove_server(policy::server_key server) {
    m_coordinator.scheduler().remove_server(server);
}

void slot_broker::set_engine_memory(policy::service_key service, double tokens) {
    m_coordinator.scheduler().set_engine_memory(service, tokens);
    schedule_flush();
}

void slot_broker::set_quota(policy::workspace_key workspace, policy::quota limit) {
    m_coordinator.quotas().set_limit(workspace, limit, clock::now());
}

void slot_broker::remove_quota(policy::workspace_key workspace) {
    m_coordinator.quotas().remove(workspace);
}

void slot_broker::request(const policy::slot_request& wanted, slot_callbacks callbacks) {
    auto local_request = wanted;
    local_request.domain = m_settings.domain;
    m_requests.add(local_request, std::move(callbacks));
    batch_items items;
    items.asks.push_back(local_request);
    forward_items(std::move(items));
}

void slot_broker::withdraw(policy::slot_ticket ticket) {
    if (!m_requests.withdraw(ticket)) {
        return;
    }
    batch_items items;
    items.withdrawals.push_back(ticket);
    forward_items(std::move(items));
}

void slot_broker::release(const policy::slot_release& ended) {
    const auto held = m_requests.release(ended.ticket);
    if (m_source == slot_source::coordinator && held.has_value()) {
        // The coordinator learns from the release, too. The local scheduler needs the same knowledge of the
        // server when it has to grant slots after the coordinator is lost.
        m_coordinator.scheduler().observe(ended, held->cost.prompt, clock::now());
    }
    batch_items items;
    items.releases.push_back(ended);
    forward_items(std::move(items));
}

void slot_broker::observe_rate_limit(policy::server_key server, std::optional<double> limit,
                                     policy::time_point asked) {
    m_news.observe_rate_limit(server, limit, asked);
}

void slot_broker::limit_rate(policy::server_key server, std::optional<double> limit) {
    if (m_settings.obeys_rate_limits) {
        m_coordinator.scheduler().set_rate_limit(server, limit, clock::now());
    }
}

void slot_broker::apply_rate_limit(const policy::rate_limit_table::change& change) {
    limit_rate(change.notice.server, change.notice.limit);
    m_observers.on_rate_limit(change);
    schedule_flush();
}

void slot_broker::observe_backoff(policy::server_key server, policy::time_point until) {
    m_coordinator.scheduler().set_backoff(server, m_self, until, clock::now());
    if (m_source == slot_source::coordinator) {
        m_upstream->pending().backoffs.push_back({server, until});
    }
    schedule_flush();
}

void slot_broker::observe_departure(policy::server_key server) {
    m_news.observe_departure(server, clock::now());
}

/// Takes a departure into account and tells the members that this process coordinates. Also tells the
/// coordinator if this process heard of it itself.
void slot_broker::apply_departure(const policy::departure& heard) {
    m_coordinator.scheduler().remove_server(heard.server);
    m_members.queue_departure(heard);
    m_observers.on_departure(heard);
    if (heard.heard_by == m_self && m_source == slot_source::coordinator) {
        m_upstream->pending().departures.push_back(heard);
    }
    schedule_flush();
}

void slot_broker::observe_crash(policy::server_key server, std::span<const policy::crash_suspect> suspects) {
    m_news.observe_crash(server, suspects, clock::now());
}

void slot_broker::observe_answer(std::span<const policy::crash_suspect> suspects) {
    m_news.observe_answer(suspects, clock::now());
}

void slot_broker::clear_suspects(std::span<const policy::crash_suspect> suspects) {
    m_news.clear_suspects(suspects, clock::now());
}

/// Tells the coordinator and the coordinated members what is new about crashes, except for the one that told
/// it, and refuses the waiting requests that are quarantined by now.
void slot_broker::pass_on(const policy::crash_statement& news, policy::member_key source) {
    if (news.is_empty()) {
        return;
    }
    if (!m_members.is_empty()) {
        const auto told = m_news.select_for_members(news, clock::now());
        if (!told.is_empty()) {
            m_members.queue_crashes(told, source);
        }
    }
    if (m_source == slot_source::coordinator && source != m_coordinating_member) {
        append(m_upstream->pending().crashes, news);
    }
    const auto is_quarantined = [&](const policy::crash_mark& mark) {
        return crashes().quarantine_left(mark.suspect, clock::now()).has_value();
    };
    if (std::ranges::any_of(news.marks, is_quarantined)) {
        m_coordinator.refuse_suspects(clock::now());
    }
    schedule_flush();
}

void slot_broker::forward_items(batch_items items) {
    if (m_source == slot_source::coordinator) {
        auto& pending = m_upstream->pending();
        std::ranges::move(items.holds, std::back_inserter(pending.holds));
        std::ranges::move(items.asks, std::back_inserter(pending.asks));
        std::ranges::move(items.withdrawals, std::back_inserter(pending.withdrawals));
        std::ranges::move(items.releases, std::back_inserter(pending.releases));
    } else {
        apply_items(m_self, items, clock::now());
    }
    schedule_flush();
}

void slot_broker::apply_items(policy::member_key member, const batch_items& items, policy::time_point now) {
    m_coordinator.apply_items(member, items, now);
    for (const auto& ended : items.releases) {
        m_observers.on_release(ended);
    }
}

void slot_broker::schedule_flush() {
    if (std::exchange(m_flush_is_scheduled, true)) {
        return;
    }
    asio::post(m_executor, [this] {
        m_flush_is_scheduled = false;
        flush();
    });
}

void slot_broker::flush() {
    const auto now = clock::now();
    if (m_source == slot_source::coordinator) {
        flush_channel(m_coordinating_member, *m_upstream, now);
        watch_retransmission();
        return;
    }
    grant_slots(now);
    m_members.flush([this, now](policy::member_key member, batch_channel& channel) {
        flush_channel(member, channel, now);
    });
    watch_retransmission();
}

/// Grants slots and refuses requests. Decisions about requests of this process are delivered at once,
/// decisions about other members' requests are queued in the channels of these members.
void slot_broker::grant_slots(policy::time_point now) {
    if (is_learning(now)) {
        return;
    }
    for (auto& [member, items] : m_coordinator.decide(now)) {
        if (expects_coordinator(now)) {
            m_deferred.extract_from(items.refusals);
        }
        const auto& scheduler = m_coordinator.scheduler();
        log_refusals(member, items.refusals, scheduler.waiting(), scheduler.running());
        for (const auto& grant : items.grants) {
            m_observers.on_grant(grant.server);
        }
        if (member == m_self) {
            deliver(items);
            continue;
        }
        m_members.queue_decisions(member, items);
    }
    for (const auto& change : m_coordinator.scheduler().take_health_changes()) {
        m_observers.on_health_change(change);
    }
    for (const auto& overflow : m_coordinator.scheduler().take_memory_overflows()) {
        m_observers.on_memory_overflow(overflow);
    }
    for (const auto server : m_coordinator.scheduler().take_used_up_limits()) {
        m_observers.on_rate_limit_used_up(server);
    }
    if (const auto counts = m_coordinator.scheduler().take_return_counts();
        counts != policy::return_counts{}) {
        m_observers.on_returns(counts);
    }
    m_retries.report_used_up(now);
}

void slot_broker::resubmit_deferred(policy::time_point now) {
    m_coordinator.apply_items(m_self, m_requests.find_waiting(m_deferred.take_tickets()), now);
}

void slot_broker::flush_channel(policy::member_key member, batch_channel& channel, policy::time_point now) {
    for (auto& message : channel.take_due(now)) {
        channel.set_session_fields(message);
        send(member, std::move(message));
    }
}

void slot_broker::watch_retransmission() {
    const bool is_needed =
        (m_upstream.has_value() && m_upstream->has_unacknowledged()) || m_members.has_unacknowledged();
    if (!is_needed || m_retransmit_timer.is_active()) {
        return;
    }
    m_retransmit_timer = m_timers.after(m_executor, retransmit_check, [this] {
        m_members.flush_unacknowledged();
        schedule_flush();
    });
}

member_status slot_broker::status() const {
    const auto now = clock::now();
    member_status result;
    result.incarnation = m_incarnation;
    result.is_acting = m_source == slot_source::own_coordination;
    result.is_eligible = m_election.is_eligible(now);
    result.is_leaving = m_election.is_leaving();
    result.processor_share = m_settings.processor_share;
    result.domain = m_settings.domain;
    result.members = static_cast<unsigned>(m_active_members.count());
    const auto held = m_observers.read_versions();
    result.configuration_version = held.configuration;
    result.backends = held.backends;
    result.is_in_touch = held.is_in_touch;
    result.configuration_confirmed = held.configuration_confirmed;
    result.backends_confirmed = held.backends_confirmed;
    result.unbroken = held.unbroken;
    return result;
}

asio::ip::udp::endpoint slot_broker::endpoint_of(policy::member_key member) const {
    return {asio::ip::address_v4(static_cast<std::uint32_t>(member)), m_settings.local.port()};
}

void slot_broker::send(policy::member_key member, datagram message) {
    message.sender = status();
    if (m_socket.has_value()) {
        m_socket->send(endpoint_of(member), encode(message, clock::now()));
    }
}

void slot_broker::send_heartbeat(policy::member_key member) {
    datagram message;
    message.wants_reply = true;
    message.known = m_election.known(clock::now());
    message.items = m_news.for_heartbeat(clock::now());
    message.streams = m_streams.take_for(member, clock::now());
    if (m_source == slot_source::coordinator && member == m_coordinating_member) {
        m_upstream->set_session_fields(message);
    }
    send(member, std::move(message));
}

heartbeat_receiver slot_broker::receiver_kind_of(policy::member_key candidate) const {
    if (m_source == slot_source::local_share) {
        return heartbeat_receiver::next;
    }
    const bool coordinates = m_source == slot_source::coordinator && candidate == m_coordinating_member;
    return coordinates ? heartbeat_receiver::coordinator : heartbeat_receiver::candidate;
}

void slot_broker::send_heartbeats(policy::time_point now) {
    m_heartbeats.begin_tick(m_active_members.reported_count());
    for (const auto member : m_election.candidates(now)) {
        if (m_heartbeats.is_due(receiver_kind_of(member)) || has_urgent_streams(member, now)) {
            send_heartbeat(member);
        }
    }
    if (m_heartbeats.is_due(heartbeat_receiver::absent)) {
        for (const auto member : m_election.absent(now)) {
            send_heartbeat(member);
        }
    }
}

void slot_broker::tick() {
    const auto now = clock::now();
    m_election.tick(now);
    m_news.tick([this](policy::server_key server) { return m_coordinator.scheduler().is_usable(server); });
    expire_members(now);
    choose_source(now);
    m_retries.tick(is_connected(), now);
    m_streams.tick(now);
    if (!m_deferred.is_empty() && !expects_coordinator(now)) {
        resubmit_deferred(now);
    }
    send_heartbeats(now);
    schedule_flush();
}

void slot_broker::receive(const asio::ip::udp::endpoint& from, std::span<const std::byte> bytes) {
    const auto now = clock::now();
    auto message = decode(bytes, now);
    if (!message.has_value() || message->sender.incarnation == m_incarnation) {
        return;
    }
    const auto member = key_of(from.address());
    const auto sender = message->sender;
    const bool wants_reply = message->wants_reply;
    const auto known = std::move(message->known);
    const auto received_streams = std::move(message->streams);
    m_election.record_heartbeat(
        member, {sender.processor_share, sender.is_acting, sender.is_eligible, sender.is_leaving}, now);
    m_has_heard_member = true;
    m_news.merge(member, *message, now);
    m_coordinator.retry_budget().merge(message->items.retries, now);
    m_observers.on_member_versions(from.address(), {sender.configuration_version, sender.backends,
                                                    sender.is_in_touch, sender.configuration_confirmed,
                                                    sender.backends_confirmed, sender.unbroken});
    if (m_source == slot_source::coordinator && member == m_coordinating_member &&
        message->session == m_upstream->session()) {
        handle_coordinator_message(std::move(*message));
    } else if (message->session != 0 && m_source == slot_source::own_coordination) {
        handle_member_message(member, std::move(*message));
    }
    for (const auto learned : known) {
        if (m_election.learn(learned, now)) {
            send_heartbeat(learned);
        }
    }
    auto streams = m_streams.receive(member, sender.incarnation, received_streams, now);
    if (wants_reply || !streams.is_empty()) {
        datagram reply;
        reply.streams = std::move(streams);
        reply.known = m_election.known(now);
        reply.items = m_news.for_heartbeat(now);
        if (auto* served = m_members.find(member)) {
            served->channel.set_session_fields(reply);
            reply.items.retries = m_retries.state_to_member(served->heartbeats++, now);
        }
        send(member, std::move(reply));
    }
}

void slot_broker::handle_coordinator_message(datagram message) {
    m_active_members.record_reported_count(message.sender.members, clock::now());
    m_upstream->handle_acknowledgement(message.acknowledged);
    if (message.batch == 0) {
        return;
    }
    const auto session = m_upstream->session();
    for (const auto& items : m_upstream->receive_batch(message.batch, std::move(message.items))) {
        deliver(items);
    }
    if (!m_upstream.has_value() || m_upstream->session() != session) {
        return;
    }
    datagram reply;
    m_upstream->set_session_fields(reply);
    send(m_coordinating_member, std::move(reply));
}

void slot_broker::handle_member_message(policy::member_key member, datagram message) {
    const auto now = clock::now();
    auto* served = m_members.find(member);
    if (served == nullptr || served->channel.session() != message.session) {
        // A new session begins with batch 1. Any other batch belongs to a session that this process has
        // already dropped; its member starts a new session when it receives no acknowledgement.
        if (message.batch != 1) {
            return;
        }
        m_coordinator.detach(member, now);
        served = &m_members.begin(member, message.session, now);
        m_news.add_to_session(served->channel.pending(), now);
        served->channel.pending().retries = m_retries.state(now);
        if (message.items.reports.empty()) {
            // A member without reports has just started. With the reports of this process it can place
            // requests well even if it loses its coordinator soon.
            served->channel.pending().reports =
                m_coordinator.scheduler().report_servers(max_initial_reports, now);
        }
        log_attached_member(member, m_members.size() + 1);
    }
    served->last_message = now;
    m_active_members.record_served(member, now);
    served->channel.handle_acknowledgement(message.acknowledged);
    if (message.batch == 0) {
        return;
    }
    for (const auto& items : served->channel.receive_batch(message.batch, std::move(message.items))) {
        apply_items(member, items, now);
    }
    grant_slots(now);
    datagram reply;
    if (served->channel.pending().is_empty()) {
        served->channel.set_session_fields(reply);
        send(member, std::move(reply));
    }
    schedule_flush();
}

/// The candidates for the coordinator, with which every member exchanges heartbeats.
std::vector<policy::member_key> slot_broker::stream_keepers() const {
    auto keepers = m_election.candidates(clock::now());
    const bool has_other = m_source == slot_source::coordinator &&
                           std::ranges::find(keepers, m_coordinating_member) == keepers.end();
    if (has_other) {
        keepers.push_back(m_coordinating_member);
    }
    return keepers;
}

bool slot_broker::has_urgent_streams(policy::member_key candidate, policy::time_point now) {
    return m_election.member_count() <= max_members_told_at_once && m_streams.has_news_for(candidate, now);
}

void slot_broker::expire_members(policy::time_point now) {
    for (const auto& lost : m_members.end_unresponsive(member_timeout, now)) {
        log_lost_member(lost.member, lost.silent);
        m_coordinator.detach(lost.member, now);
    }
}

void slot_broker::detach_members(policy::time_point now) {
    for (const auto member : m_members.members()) {
        m_coordinator.detach(member, now);
    }
    m_members.clear();
}

void slot_broker::deliver(const batch_items& items) {
    for (const auto& report : items.reports) {
        m_coordinator.scheduler().adopt(report, clock::now());
    }
    for (const auto& grant : items.grants) {
        apply_grant(grant);
    }
    for (const auto& refusal : items.refusals) {
        apply_refusal(refusal);
    }
}

void slot_broker::apply_refusal(const policy::slot_refusal& refusal) {
    if (const auto* request = m_requests.find(refusal.ticket)) {
        m_told_promises.record(*request, refusal, clock::now());
    }
    m_requests.apply_refusal(refusal);
}

void slot_broker::apply_grant(const policy::slot_grant& grant) {
    if (m_requests.apply_grant(grant) || m_requests.occupies_slot(grant.ticket)) {
        return;
    }
    // The request was withdrawn, or a previous coordinator granted it a slot, while this grant was in
    // transit. The slot is returned unused.
    batch_items items;
    items.releases.push_back({grant.ticket, grant.server, policy::slot_outcome::refused, {}, {}});
    forward_items(std::move(items));
}

} // namespace borageford::coordination
