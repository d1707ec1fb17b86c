// What gateways tell each other about backend servers, whoever coordinates them: rate limits, departures and
// crashes.
#pragma once

#include "coordination/crash_exchange.hpp"
#include "coordination/message.hpp"
#include "coordination/rate_limit_exchange.hpp"
#include "policy/departure_table.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <span>

namespace borageford::coordination {

/// One gateway receives the answer that says something about a server, but it holds for all of them. This
/// class collects what is known here, composes what is sent with heartbeats and sessions, and reports what is
/// new. Used on one executor.
class server_news {
public:
    struct observers {
        /// The rate limit of a server has changed.
        std::function<void(const policy::rate_limit_table::change&)> on_rate_limit;
        /// A server leaves, and this wasn't known here.
        std::function<void(const policy::departure&)> on_departure;
        /// Crashes became known, or marks of crashes void. `source` is the member that told it; this process
        /// itself if it saw it.
        std::function<void(const policy::crash_statement&, policy::member_key source)> on_crashes;
        /// Sends items without a batch to a member.
        std::function<void(policy::member_key, batch_items)> send;
        /// Called for each mark and each clearance that is new in the ledger.
        crash_exchange::observers crash_changes;
    };

    /// `incarnation` is the number that identifies this run of the process.
    server_news(policy::crash_ledger& ledger, policy::member_key self, std::uint64_t incarnation,
                observers callbacks);

    /// To be called every 50 ms. Drops what is no longer needed.
    void tick(const std::function<bool(policy::server_key)>& is_in_use) { m_rate_limits.tick(is_in_use); }

    // What this process has received from a server itself; see slot_broker for the meaning.

    void observe_rate_limit(policy::server_key server, std::optional<double> limit,
                            policy::time_point asked) {
        m_rate_limits.observe(server, limit, asked);
    }
    void observe_departure(policy::server_key server, policy::time_point now);
    void observe_crash(policy::server_key server, std::span<const policy::crash_suspect> suspects,
                       policy::time_point now);
    void observe_answer(std::span<const policy::crash_suspect> suspects, policy::time_point now);
    void clear_suspects(std::span<const policy::crash_suspect> suspects, policy::time_point now);

    /// Takes over what a member tells in a datagram of any kind. A process from which the first datagram
    /// arrives may have just started, and is sent all that is known here, before it grants slots without
    /// knowing it.
    void merge(policy::member_key member, const datagram& message, policy::time_point now);

    /// What is sent with each heartbeat and each reply to one.
    [[nodiscard]] batch_items for_heartbeat(policy::time_point now);
    /// Adds what holds for all processes to the first batch of a session, whichever side sends it.
    void add_to_session(batch_items& first, policy::time_point now) const;
    /// The part of the news that a coordinator passes on to all its members.
    [[nodiscard]] policy::crash_statement select_for_members(const policy::crash_statement& news,
                                                             policy::time_point now) {
        return m_crashes.select_for_members(news, now);
    }

    [[nodiscard]] std::optional<double> rate_limit_of(policy::server_key server) const {
        return m_rate_limits.limit_of(server);
    }
    [[nodiscard]] bool has_departed(policy::server_key server) const { return m_departures.contains(server); }

private:
    void add_departure(const policy::departure& heard, policy::time_point now);
    void greet(policy::member_key member, policy::time_point now);

    const policy::crash_ledger& m_ledger;
    policy::member_key m_self;
    observers m_observers;
    rate_limit_exchange m_rate_limits;
    policy::departure_table m_departures;
    crash_exchange m_crashes;
};

} // namespace borageford::coordination
