// Obtains slots of backend servers for the requests of this process. The coordinator grants them, or this
// process does when it is the coordinator itself. Without a coordinator this process grants slots from its
// local share of all slots and limits.
#pragma once

#include "base/timer_service.hpp"
#include "coordination/batch_channel.hpp"
#include "coordination/broker_observers.hpp"
#include "coordination/broker_settings.hpp"
#include "coordination/deferred_refusals.hpp"
#include "coordination/heartbeat_schedule.hpp"
#include "coordination/id_sequence.hpp"
#include "coordination/local_requests.hpp"
#include "coordination/member_sessions.hpp"
#include "coordination/message.hpp"
#include "coordination/peer_socket.hpp"
#include "coordination/retry_exchange.hpp"
#include "coordination/server_news.hpp"
#include "coordination/slot_coordinator.hpp"
#include "coordination/stream_exchange.hpp"
#include "coordination/told_promises.hpp"
#include "policy/active_members.hpp"
#include "policy/coordinator_election.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/udp.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace borageford::coordination {

/// Who grants slots to the requests of this process.
enum class slot_source : std::uint8_t {
    coordinator,      ///< another process, which coordinates this one
    own_coordination, ///< this process, which is the coordinator
    local_share,      ///< this process, from its local share, because it has no coordinator
};

[[nodiscard]] std::string_view to_string(slot_source source) noexcept;

/// All calls, including the callbacks, happen on one executor, which runs on a single thread.
class slot_broker {
public:
    using versions = broker_versions;
    using observers = broker_observers;

    slot_broker(boost::asio::any_io_executor executor, timer_service& timers, broker_settings settings,
                observers callbacks);

    /// Opens the socket and starts to exchange heartbeats with the other members.
    void start();
    /// Prepares the shutdown of this process. It hands over the coordination if another member can
    /// coordinate, and tells the other members that it is shutting down.
    void leave();

    /// Adds another process that may be a member. Only IPv4 addresses are supported; others are ignored.
    void add_member(const boost::asio::ip::address& address, double processor_share);

    void set_server(policy::server_key server, policy::service_key service, unsigned slots,
                    policy::domain_key domain, policy::server_software software = {});
    void remove_server(policy::server_key server);
    /// Sets the tokens that fit into the memory of each engine of the service; 0: not known.
    void set_engine_memory(policy::service_key service, double tokens);
    /// How much of the engines' memory is in use, as far as this process knows; see outstanding().
    [[nodiscard]] std::vector<policy::slot_scheduler::memory_use> measure_memory() const {
        return m_coordinator.scheduler().measure_memory();
    }
    /// Sets the quota of a workspace.
    void set_quota(policy::workspace_key workspace, policy::quota limit);
    void remove_quota(policy::workspace_key workspace);

    /// Returns the id for the next slot request of this process; see id_sequence for how far they
    /// differ.
    [[nodiscard]] policy::slot_ticket next_ticket() noexcept { return m_tickets.next(); }

    /// Requests a slot. One of the callbacks in `callbacks` is called once, after this function has returned,
    /// unless the request is withdrawn before.
    void request(const policy::slot_request& wanted, slot_callbacks callbacks);
    /// Withdraws a slot request. If the slot was granted already and the grant is in transit, the slot is
    /// returned.
    void withdraw(policy::slot_ticket ticket);
    /// Reports that a request has ended and no longer occupies the slot that it was granted.
    void release(const policy::slot_release& ended);

    /// What is known of the streams that callers may resume.
    [[nodiscard]] stream_exchange& streams() noexcept { return m_streams; }

    /// An answer of the server was received by this process. `limit` is the rate limit that it names, in
    /// requests per second; nothing if it names none. `asked` is when the request was sent.
    void observe_rate_limit(policy::server_key server, std::optional<double> limit, policy::time_point asked);

    /// A server has turned this process away and wants none of its requests until `until`.
    void observe_backoff(policy::server_key server, policy::time_point until);
    /// An answer that this process received says that its server leaves.
    void observe_departure(policy::server_key server);
    /// Whether the server has said in an answer to some gateway that it leaves, as far as this process knows.
    [[nodiscard]] bool has_departed(policy::server_key server) const { return m_news.has_departed(server); }

    /// A server crashed while it may have run a request of this process with these suspects.
    void observe_crash(policy::server_key server, std::span<const policy::crash_suspect> suspects);
    /// A server has answered a request with these suspects to this process.
    void observe_answer(std::span<const policy::crash_suspect> suspects);
    /// An operator has released these suspects.
    void clear_suspects(std::span<const policy::crash_suspect> suspects);
    /// The requests that crash servers, as far as this process knows.
    [[nodiscard]] const policy::crash_ledger& crashes() const noexcept { return m_coordinator.crashes(); }

    /// slot_scheduler::reserved_slots() of the slots that this process grants.
    [[nodiscard]] double reserved_slots() const { return m_coordinator.scheduler().reserved_slots(); }

    [[nodiscard]] slot_source source() const noexcept { return m_source; }
    /// The time at which source() last changed.
    [[nodiscard]] policy::time_point source_since() const noexcept { return m_source_since; }
    /// Requests that occupy slots of the server, as far as this process knows: it granted the slots itself,
    /// or it became coordinator and members reported the slots that an earlier coordinator granted.
    [[nodiscard]] unsigned outstanding(policy::server_key server) const {
        return m_coordinator.scheduler().outstanding(server);
    }
    /// Whether all other members send heartbeats to this process. With `coordinates` = false this can't be
    /// known, and the result is always true.
    [[nodiscard]] bool is_candidate() const {
        return !m_settings.coordinates || m_election.is_candidate(clock::now());
    }
    /// Number of members that the coordinator last reported; 0: unknown.
    [[nodiscard]] std::size_t reported_members() const noexcept { return m_active_members.reported_count(); }

private:
    using clock = std::chrono::steady_clock;

    /// Maximum number of server reports at the start of a session. They fill a few datagrams, so that
    /// hundreds of members that attach at the same time don't saturate the network link of a small machine.
    static constexpr std::size_t max_initial_reports = 64;

    void tick();
    void receive(const boost::asio::ip::udp::endpoint& from, std::span<const std::byte> bytes);
    void report_source_change(slot_source before) const;
    void grant_slots(policy::time_point now);
    void apply_items(policy::member_key member, const batch_items& items, policy::time_point now);
    void handle_coordinator_message(datagram message);
    void handle_member_message(policy::member_key member, datagram message);
    void send_heartbeats(policy::time_point now);
    [[nodiscard]] heartbeat_receiver receiver_kind_of(policy::member_key candidate) const;
    void send_heartbeat(policy::member_key member);
    void send(policy::member_key member, datagram message);
    [[nodiscard]] member_status status() const;
    [[nodiscard]] boost::asio::ip::udp::endpoint endpoint_of(policy::member_key member) const;

    void choose_source(policy::time_point now);
    [[nodiscard]] bool has_session_timed_out(policy::time_point now) const;
    [[nodiscard]] batch_items list_own_items(policy::time_point now);
    void apply_refusal(const policy::slot_refusal& refusal);
    void attach_to(policy::member_key coordinator);
    void use_local_source(slot_source source);
    void update_shares(policy::time_point now);
    [[nodiscard]] double coordinator_retry_share(std::size_t attached, policy::time_point now);
    [[nodiscard]] bool is_connected() const;
    [[nodiscard]] std::vector<policy::member_key> stream_keepers() const;
    [[nodiscard]] bool has_urgent_streams(policy::member_key candidate, policy::time_point now);
    [[nodiscard]] bool expects_coordinator(policy::time_point now) const;
    [[nodiscard]] bool is_learning(policy::time_point now) const;
    void resubmit_deferred(policy::time_point now);
    void expire_members(policy::time_point now);
    void detach_members(policy::time_point now);

    void limit_rate(policy::server_key server, std::optional<double> limit);
    void apply_rate_limit(const policy::rate_limit_table::change& change);
    void apply_departure(const policy::departure& heard);
    void pass_on(const policy::crash_statement& news, policy::member_key source);

    void deliver(const batch_items& items);
    void apply_grant(const policy::slot_grant& grant);
    void forward_items(batch_items items);
    void schedule_flush();
    void flush();
    void flush_channel(policy::member_key member, batch_channel& channel, policy::time_point now);
    void watch_retransmission();

    boost::asio::any_io_executor m_executor;
    timer_service& m_timers;
    broker_settings m_settings;
    observers m_observers;
    std::uint64_t m_incarnation;
    id_sequence m_tickets;
    policy::member_key m_self;
    policy::coordinator_election m_election;
    slot_coordinator m_coordinator;
    std::optional<peer_socket> m_socket;

    slot_source m_source = slot_source::local_share;
    policy::time_point m_source_since;
    policy::member_key m_coordinating_member = 0; ///< the coordinator, while m_source is coordinator
    std::optional<batch_channel> m_upstream;  ///< session with the coordinator, while m_source is coordinator
    policy::time_point m_uncoordinated_since; ///< when this process last started or lost its coordinator
    deferred_refusals m_deferred;             ///< used while a coordinator is expected
    /// The members that this process coordinates; empty unless m_source is own_coordination.
    member_sessions m_members;
    policy::active_members m_active_members;
    server_news m_news;
    retry_exchange m_retries;
    stream_exchange m_streams;

    local_requests m_requests;
    told_promises m_told_promises;

    timer_subscription m_tick_timer;
    timer_subscription m_retransmit_timer;
    bool m_flush_is_scheduled = false;
    policy::time_point m_started;
    bool m_has_heard_member = false; ///< another process has sent a message since the start
    heartbeat_schedule m_heartbeats;
};

} // namespace borageford::coordination
