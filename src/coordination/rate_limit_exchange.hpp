// What this process knows of the rate limits of backend servers, and what it tells other gateways of them.
#pragma once

#include "coordination/id_sequence.hpp"
#include "policy/pause_detector.hpp"
#include "policy/rate_limit_table.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace borageford::coordination {

/// An answer that names a limit is received by one gateway, but the limit holds for all of them. So every
/// heartbeat contains notices: gateways that can't reach each other learn of a limit from a third one, and a
/// gateway that becomes the coordinator knows it before it grants its first slot. Used on one executor.
class rate_limit_exchange {
public:
    using change_handler = std::function<void(const policy::rate_limit_table::change&)>;

    /// `incarnation` is the number that identifies this run of the process; `on_change` is called for each
    /// change of a server's limit, whoever heard of it.
    rate_limit_exchange(policy::member_key self, std::uint64_t incarnation, change_handler on_change);

    /// To be called every 50 ms. Drops notices that are no longer needed.
    void tick(const std::function<bool(policy::server_key)>& is_in_use);
    /// Checks whether this process was suspended. To be called before notices are sent or received.
    void check_clock();

    /// Records what an answer that this process received says: `limit` is nothing if it names no limit,
    /// `asked` is when the request was sent.
    void observe(policy::server_key server, std::optional<double> limit, policy::time_point asked);
    /// Takes over notices of another gateway.
    void merge(std::span<const policy::rate_limit_notice> notices);

    [[nodiscard]] std::optional<double> limit_of(policy::server_key server) const {
        return m_table.limit_of(server);
    }
    /// The notices to send with a heartbeat.
    [[nodiscard]] std::vector<policy::rate_limit_notice> take_next();
    /// The notices to send at the begin of a session.
    [[nodiscard]] std::vector<policy::rate_limit_notice> list_for_session() const {
        return m_table.latest(max_notices_for_new_process);
    }
    /// The notices to send to a process that knows none, in parts that fit into one datagram each.
    [[nodiscard]] std::vector<std::vector<policy::rate_limit_notice>> list_for_new_process() const;
    /// Returns whether `incarnation` is a run of the member's process from which nothing was received before.
    bool is_new_process(policy::member_key member, std::uint64_t incarnation);

private:
    /// Bounds what a process is sent when it starts, so that hundreds of processes that start together don't
    /// saturate the network link of a small machine. It receives any others with the heartbeats that follow.
    static constexpr std::size_t max_notices_for_new_process = 96;

    using clock = std::chrono::steady_clock;

    void report(const std::optional<policy::rate_limit_table::change>& change) const;

    policy::member_key m_self;
    id_sequence m_ids; ///< ids of the notices of this process
    change_handler m_on_change;
    policy::rate_limit_table m_table;
    policy::pause_detector m_pauses;
    std::map<policy::member_key, std::uint64_t> m_incarnations;
};

} // namespace borageford::coordination
