// The datagrams that gateways exchange, as plain structs, with their encoding and decoding.
#pragma once

#include "coordination/stream_items.hpp"
#include "policy/coordinator_election.hpp"
#include "policy/crash_mark.hpp"
#include "policy/departure_table.hpp"
#include "policy/rate_limit_notice.hpp"
#include "policy/retry_use.hpp"
#include "policy/return_promise.hpp"
#include "policy/server_backoff.hpp"
#include "policy/server_report.hpp"
#include "policy/slot_request.hpp"
#include "store/position.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace borageford::coordination {

/// The status of its sender that every datagram contains. policy::member_status is the part of it that the
/// election of the coordinator uses.
struct member_status {
    std::uint64_t incarnation = 0; ///< a random number that identifies this run of the process
    bool is_acting = false;        ///< the sender coordinates
    bool is_eligible = false;      ///< the sender has run without a pause for long enough to coordinate
    bool is_leaving = false;       ///< the sender is shutting down
    double processor_share = 1;    ///< processors that the sender may use
    unsigned members = 0;          ///< members that the sender counts, itself included
    std::uint64_t configuration_version = 0;
    store::position backends; ///< the last change to the table of backend servers that the sender knows
    /// The sender polls the store for itself, the store answered its last polls, and the sender's copies were
    /// confirmed recently. (A sender that relies on other gateways reports false.)
    bool is_in_touch = false;
    policy::domain_key domain = 0; ///< failure domain of the sender and of its slot requests
    /// When the store last confirmed the sender's copies of the configuration and of the table of backend
    /// servers, in ms of the store's clock in the era of `backends`; 0: not known.
    std::uint64_t configuration_confirmed = 0;
    std::uint64_t backends_confirmed = 0;
    /// For how long the store has answered the sender without interruption; zero: the sender doesn't poll the
    /// store, or gets no answer.
    std::chrono::milliseconds unbroken{0};
};

/// A request that already occupies a slot, as reported to a new coordinator.
struct slot_hold {
    policy::slot_ticket ticket = 0;
    policy::server_key server = 0;
    policy::service_key service = 0;
    int tier = 0;
    policy::token_cost cost;
};

/// The items that one side of a session sends to the other. The receiver processes a batch as a unit, list by
/// list in this order.
struct batch_items {
    std::vector<policy::server_report> reports; ///< sent with the first batches of a session only
    /// What servers said about their rate limits. Also in datagrams without a batch; the receiver takes them
    /// over at once, whatever order they arrive in.
    std::vector<policy::rate_limit_notice> rate_limits;
    std::vector<policy::departure> departures; ///< servers that leave; sent and taken over like `rate_limits`
    policy::crash_statement crashes; ///< requests that may crash servers; taken over like `rate_limits`
    /// What the sender knows of the uses of the retry reserves; sent and taken over like `rate_limits`.
    policy::retry_statement retries;
    std::vector<policy::backoff_notice> backoffs; ///< servers that want no requests of the sender for a while
    /// The sender's requests that already occupy slots, sent to a new coordinator.
    std::vector<slot_hold> holds;
    /// What the sender's refused callers were promised, sent to a new coordinator.
    std::vector<policy::return_promise> promises;
    /// The sender's requests that need slots, sent to a coordinator.
    std::vector<policy::slot_request> asks;
    std::vector<policy::slot_ticket> withdrawals; ///< slot requests that are no longer needed
    std::vector<policy::slot_release> releases;   ///< ended requests with their slots, sent to a coordinator
    std::vector<policy::slot_grant> grants;       ///< sent by a coordinator
    std::vector<policy::slot_refusal> refusals;   ///< sent by a coordinator

    [[nodiscard]] bool is_empty() const noexcept;
    /// Approximate size in bytes of a datagram with these items.
    [[nodiscard]] std::size_t encoded_size() const noexcept;
};

/// One UDP datagram between two gateways: a heartbeat, a batch of a session, or the reply to either.
struct datagram {
    member_status sender;
    bool wants_reply = false; ///< set in heartbeats: the receiver replies with its own status
    /// Members from which the sender receives messages and which may coordinate. Only heartbeats and their
    /// replies contain them.
    std::vector<policy::member_key> known;
    std::uint64_t session = 0;      ///< random id that the coordinated member chose; 0: no session
    std::uint32_t batch = 0;        ///< number of the batch in `items`; 0: the datagram contains no batch
    std::uint32_t acknowledged = 0; ///< number of the last batch that the sender received in order; 0: none
    batch_items items;
    stream_items streams; ///< in datagrams of any kind, taken over at once
};

/// Encodes a datagram. Points in time are sent as durations before or after `now`, which is the sender's
/// time, because the clocks of two processes differ.
[[nodiscard]] std::vector<std::byte> encode(const datagram& message, policy::time_point now);
/// Decodes a datagram, with points in time relative to `now`, which is the receiver's time. Returns nothing
/// when the bytes aren't a valid datagram.
[[nodiscard]] std::optional<datagram> decode(std::span<const std::byte> bytes, policy::time_point now);

} // namespace borageford::coordination
