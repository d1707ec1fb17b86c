// The settings of a slot_broker.
#pragma once

#include "policy/coordinator_election.hpp"
#include "policy/quota_tracker.hpp"
#include "policy/server_retry_budget.hpp"
#include "policy/slot_scheduler.hpp"

#include <boost/asio/ip/udp.hpp>

#include <chrono>

namespace borageford::coordination {

struct broker_settings {
    /// Address and UDP port of this process. All members use the same port.
    boost::asio::ip::udp::endpoint local;
    double processor_share = 1;    ///< processors that this process may use
    policy::domain_key domain = 0; ///< failure domain of this process
    bool coordinates = true;       ///< false: this process always uses its local share
    /// How long a request that exceeds the local share waits for a coordinator after a start or after the
    /// loss of a coordinator. The members usually find a new one within a few heartbeats.
    std::chrono::milliseconds coordinator_patience{400};
    /// For how long a caller may come back for a stream that broke off.
    std::chrono::milliseconds stream_memory{30000};
    /// false: servers' rate limits are known, but slots are granted without them
    bool obeys_rate_limits = true;
    /// Whether no process of this system has run before. Otherwise a process that starts takes nothing from
    /// the retry reserves until it knows what was used of them.
    bool is_first_start = false;
    policy::election_limits election;
    policy::slot_scheduler_limits slots;
    policy::quota_limits quotas;
    policy::server_retry_limits retries;
};

} // namespace borageford::coordination
