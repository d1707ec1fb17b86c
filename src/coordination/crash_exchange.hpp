// What this process knows of requests that crash backend servers, and what it tells other gateways of it.
#pragma once

#include "policy/crash_ledger.hpp"
#include "policy/recent_answers.hpp"

#include <cstddef>
#include <deque>
#include <functional>
#include <span>
#include <utility>

namespace borageford::coordination {

/// A crash is seen by the gateways whose requests ran on the server, but the quarantine holds for all
/// requests of all gateways. So each gateway keeps its own ledger and passes on what is new to it. Suspects
/// that servers have answered recently, at whatever gateway, aren't marked. Used on one executor.
class crash_exchange {
public:
    struct observers {
        /// A mark is new in the ledger.
        std::function<void(const policy::crash_mark&, policy::crash_ledger::change)> on_mark;
        /// A clearance has voided marks of the ledger.
        std::function<void(const policy::crash_clearance&)> on_clearance;
    };

    /// How many quarantined suspects it remembers to have told. Members keep one that it has forgotten in
    /// quarantine until the quarantine ends by itself.
    static constexpr std::size_t max_told = 1024;

    crash_exchange(policy::crash_ledger& ledger, policy::member_key self, observers callbacks)
        : m_ledger(ledger), m_self(self), m_observers(std::move(callbacks)) {}

    // Each of these functions returns what is news, to be passed on.

    /// A server crashed while it may have run a request of this process with these suspects.
    [[nodiscard]] policy::crash_statement observe_crash(policy::server_key server,
                                                        std::span<const policy::crash_suspect> suspects,
                                                        policy::time_point now);
    /// A server has answered a request with these suspects to this process.
    [[nodiscard]] policy::crash_statement observe_answer(std::span<const policy::crash_suspect> suspects,
                                                         policy::time_point now);
    /// An operator has released these suspects.
    [[nodiscard]] policy::crash_statement clear(std::span<const policy::crash_suspect> suspects,
                                                policy::time_point now);
    /// Another process has made this statement.
    [[nodiscard]] policy::crash_statement merge(const policy::crash_statement& received,
                                                policy::time_point now);

    /// What of the news a coordinator tells all its members: what is quarantined, with all its marks, and
    /// what no longer is. The candidates for the coordinator learn single marks with heartbeats. Telling each
    /// of them to hundreds of members, a datagram each, takes a coordinator on a small machine all its time
    /// when servers crash.
    [[nodiscard]] policy::crash_statement select_for_members(const policy::crash_statement& news,
                                                             policy::time_point now);

    /// The statement for heartbeats and the replies to them: what became known here in the last second. With
    /// it, gateways without a common coordinator learn of crashes from each other.
    [[nodiscard]] policy::crash_statement recent(policy::time_point now);

private:
    void remember_told(const policy::crash_suspect& suspect);
    void add(const policy::crash_mark& mark, policy::time_point now, policy::crash_statement& news);
    void add(const policy::crash_clearance& clearance, policy::time_point now, policy::crash_statement& news);

    template <typename Item>
    struct learned {
        Item item;
        policy::time_point at;
    };

    policy::crash_ledger& m_ledger;
    policy::member_key m_self;
    policy::recent_answers m_answers; ///< of this process
    observers m_observers;
    /// Quarantined suspects that members were told, the one that was told last at the end.
    /// Invariant: at most `max_told`.
    std::deque<policy::crash_suspect> m_told;
    std::deque<learned<policy::crash_mark>> m_recent_marks; ///< oldest first
    std::deque<learned<policy::crash_clearance>> m_recent_clearances;
};

} // namespace borageford::coordination
