// One datagram between gateways, as a plain value.
#pragma once

#include "policy/coordinator_election.hpp"
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

/// What a gateway tells of itself in every datagram.
struct member_status {
    std::uint64_t incarnation = 0;
    bool is_acting = false;   ///< it coordinates
    bool is_eligible = false; ///< it has run without a pause for long enough to coordinate
    bool is_leaving = false;
    double processor_share = 1;
    unsigned members = 0; ///< that it counts, as coordinator
    std::uint64_t configuration_version = 0;
    store::position backends;      ///< the last change of backend servers that it knows
    bool is_in_touch = false;      ///< the store answers it
    policy::domain_key domain = 0; ///< its failure domain, and that of all that it asks for
    /// When the store last confirmed each, in ms of its clock in the era of `backends`; 0: not told.
    std::uint64_t configuration_confirmed = 0;
    std::uint64_t backends_confirmed = 0;
    /// For how long the store has answered it without a break; zero: it isn't asked, or doesn't answer.
    std::chrono::milliseconds unbroken{0};
};

/// A request that already occupies a slot, told to a new coordinator.
struct slot_hold {
    policy::slot_ticket ticket = 0;
    policy::server_key server = 0;
    policy::service_key service = 0;
    int tier = 0;
    policy::token_cost cost;
};

/// What one side of a session tells the other, taken as a whole and in this order.
struct batch_items {
    std::vector<policy::server_report> reports; ///< with the first batches of a session only
    std::vector<slot_hold> holds;
    std::vector<policy::slot_request> asks;
    std::vector<policy::slot_ticket> withdrawals;
    std::vector<policy::slot_release> releases;
    std::vector<policy::slot_grant> grants;
    std::vector<policy::slot_refusal> refusals;

    [[nodiscard]] bool is_empty() const noexcept;
    /// Bytes that the items take in a datagram, roughly.
    [[nodiscard]] std::size_t encoded_size() const noexcept;
};

struct datagram {
    member_status sender;
    bool wants_reply = false;
    /// Members that the sender hears and that may coordinate; told with heartbeats only.
    std::vector<policy::member_key> known;
    std::uint64_t session = 0; ///< drawn by the member; 0: none
    std::uint32_t batch = 0;   ///< number of the items; 0: there are none
    std::uint32_t acknowledged = 0;
    batch_items items;
};

/// Times travel as ages and remainders, since clocks differ: `now` is the sender's.
[[nodiscard]] std::vector<std::byte> encode(const datagram& message, policy::time_point now);
/// Nothing for bytes that are no datagram of ours. `now` is the receiver's.
[[nodiscard]] std::optional<datagram> decode(std::span<const std::byte> bytes, policy::time_point now);

} // namespace borageford::coordination
