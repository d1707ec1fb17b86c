// Gets slots at backend servers for the requests of this process: from the coordinator, from this process
// when it coordinates, or, when no coordinator is heard, from this process's own part of everything.
#pragma once

#include "base/timer_service.hpp"
#include "coordination/batch_channel.hpp"
#include "coordination/deferred_refusals.hpp"
#include "coordination/heartbeat_schedule.hpp"
#include "coordination/message.hpp"
#include "coordination/own_requests.hpp"
#include "coordination/peer_socket.hpp"
#include "coordination/slot_coordinator.hpp"
#include "policy/coordinator_election.hpp"
#include "policy/member_census.hpp"
#include "store/position.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/udp.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace borageford::coordination {

struct broker_settings {
    boost::asio::ip::udp::endpoint local; ///< all members use the same port
    double processor_share = 1;
    policy::domain_key domain = 0; ///< failure domain of this process
    bool coordinates = true;       ///< else this process always uses its own part
    /// How long a request that the own part has no room for waits for a coordinator, after one was lost and
    /// after a start: one is found within some heartbeats.
    std::chrono::milliseconds coordinator_patience{400};
    policy::election_limits election;
    policy::slot_scheduler_limits slots;
    policy::allowance_limits allowances;
    policy::repeat_limits repeats;
};

/// Where slots come from at the moment.
enum class slot_source : std::uint8_t { coordinator, own_coordination, own_part };

[[nodiscard]] std::string_view to_string(slot_source source) noexcept;

/// Belongs to one thread's executor.
class slot_broker {
public:
    /// What this process holds, for the status that it sends.
    struct versions {
        std::uint64_t configuration = 0;
        store::position backends;
        bool is_in_touch = false; ///< the store answers
        /// When the store last confirmed each, in ms of its clock in the era of `backends`, 0: not told; see
        /// policy/confirmation.hpp.
        std::uint64_t configuration_confirmed = 0;
        std::uint64_t backends_confirmed = 0;
        std::chrono::milliseconds unbroken{0}; ///< for which the store has answered without a break
    };
    struct observers {
        std::function<versions()> read_versions;
        /// A member was heard: it may know more than this process.
        std::function<void(const boost::asio::ip::address&, const versions&)> on_member_versions;
        /// This process gives out slots, and a server has begun to rest, or has recovered.
        std::function<void(const policy::slot_scheduler::health_change&)> on_health_change;
        /// This process has given a request to a server, or hears that one has left its slot.
        std::function<void(policy::server_key)> on_grant = [](policy::server_key) {
        };
        std::function<void(const policy::slot_release&)> on_release = [](const policy::slot_release&) {
        };
    };

    slot_broker(boost::asio::any_io_executor executor, timer_service& timers, broker_settings settings,
                observers to_call);

    /// Begins to talk to the others.
    void start();
    /// This process is about to stop: it no longer coordinates, and says so.
    void leave();

    /// Another process that may be a member.
    void add_member(const boost::asio::ip::address& address, double processor_share);
    void forget_member(const boost::asio::ip::address& address);

    void set_server(policy::server_key server, policy::service_key service, unsigned slots,
                    policy::domain_key domain);
    void remove_server(policy::server_key server);
    /// The server has started anew, under another key: this start is gone.
    void take_restart(policy::server_key former);
    void set_allowance(policy::workspace_key workspace, policy::allowance limit);
    void remove_allowance(policy::workspace_key workspace);

    /// A ticket that no other process draws.
    [[nodiscard]] policy::slot_ticket next_ticket() noexcept;

    /// One of the answers is called once, not before this returns, unless the request is withdrawn.
    void request(const policy::slot_request& wanted, slot_answer to_call);
    /// The request no longer wants a slot. A grant on its way is returned.
    void withdraw(policy::slot_ticket ticket);
    /// A granted request has left its slot.
    void release(const policy::slot_release& ended);

    [[nodiscard]] slot_source source() const noexcept { return m_source; }
    /// Since when slots come from there.
    [[nodiscard]] policy::time_point source_since() const noexcept { return m_source_since; }
    /// Requests that a server works on, as far as this process gives out its slots.
    [[nodiscard]] unsigned outstanding(policy::server_key server) const {
        return m_coordinator.scheduler().outstanding(server);
    }
    /// Whether all other members hear from this process; where nobody coordinates, nobody can be sure to.
    [[nodiscard]] bool is_candidate() const {
        return !m_settings.coordinates || m_election.is_candidate(clock::now());
    }
    /// Members that the coordinator counts; 0: none has told.
    [[nodiscard]] std::size_t members_told() const noexcept { return m_census.told(); }

private:
    using clock = std::chrono::steady_clock;

    /// A member whose requests this process coordinates.
    struct served_member {
        batch_channel channel;
        policy::time_point heard;
    };

    void tick();
    void receive(const boost::asio::ip::udp::endpoint& from, std::span<const std::byte> bytes);
    void report_change_of_source(slot_source before) const;
    void hand_out(policy::time_point now);
    void take_items(policy::member_key member, const batch_items& items, policy::time_point now);
    void take_from_coordinator(datagram message);
    void take_from_member(policy::member_key member, datagram message);
    void send_heartbeats(policy::time_point now);
    [[nodiscard]] heartbeat_receiver role_of(policy::member_key candidate) const;
    void send_heartbeat(policy::member_key member);
    void send(policy::member_key member, datagram message);
    [[nodiscard]] member_status status() const;
    [[nodiscard]] boost::asio::ip::udp::endpoint endpoint_of(policy::member_key member) const;

    void choose_source(policy::time_point now);
    [[nodiscard]] bool is_session_stuck(policy::time_point now) const;
    void attach_to(policy::member_key coordinator);
    void use_own(slot_source source);
    void update_shares(policy::time_point now);
    [[nodiscard]] bool expects_coordinator(policy::time_point now) const;
    void ask_deferred_again(policy::time_point now);
    void expire_members(policy::time_point now);

    void deliver(const batch_items& items);
    void take_grant(const policy::slot_grant& grant);
    void pass_on(batch_items items);
    void schedule_flush();
    void flush();
    void flush_channel(policy::member_key member, batch_channel& channel, policy::time_point now);
    void watch_retransmission();

    boost::asio::any_io_executor m_executor;
    timer_service& m_timers;
    broker_settings m_settings;
    observers m_observers;
    std::uint64_t m_incarnation;
    std::uint32_t m_last_ticket = 0;
    policy::member_key m_self;
    policy::coordinator_election m_election;
    slot_coordinator m_coordinator;
    std::optional<peer_socket> m_socket;

    slot_source m_source = slot_source::own_part;
    policy::time_point m_source_since;
    policy::member_key m_coordinating_member = 0; ///< while m_source is coordinator
    std::optional<batch_channel> m_upstream;      ///< while m_source is coordinator
    policy::time_point m_alone_since; ///< when this process started, or lost its coordinator, last
    deferred_refusals m_deferred;     ///< while a coordinator is expected
    std::map<policy::member_key, served_member> m_served; ///< while m_source is own_coordination
    std::set<policy::member_key> m_told_members;          ///< served ones for which something may be due
    policy::member_census m_census;

    own_requests m_requests;

    timer_subscription m_tick_timer;
    timer_subscription m_retransmit_timer;
    bool m_flush_is_scheduled = false;
    heartbeat_schedule m_heartbeats;
};

} // namespace borageford::coordination
