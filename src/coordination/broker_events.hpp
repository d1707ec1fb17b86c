// What a slot broker writes into the log.
#pragma once

#include "policy/coordinator_election.hpp"
#include "policy/slot_request.hpp"

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace borageford::coordination {

/// The member's IP number.
[[nodiscard]] std::string describe_member(policy::member_key member);

/// `waiting`, `running`: requests that the process which refuses knows of.
void report_refusals(policy::member_key member, std::span<const policy::slot_refusal> refusals,
                     std::size_t waiting, std::size_t running);

/// Where slots come from, before and now, who coordinates now, and how many of the own requests wait and run.
struct source_change {
    std::string_view from;
    std::string_view to;
    policy::member_key coordinator = 0;
    std::size_t waiting = 0;
    std::size_t running = 0;
};
void report_source(const source_change& change);

/// `members`: that are coordinated with it, this process included.
void report_attached(policy::member_key member, std::size_t members);
void report_lost(policy::member_key member, policy::duration silent);

} // namespace borageford::coordination
