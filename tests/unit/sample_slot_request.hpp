// A slot request as the tests of the scheduler and of its coordinator use it.
#pragma once

#include "policy/slot_request.hpp"
#include "policy/time.hpp"

#include <chrono>

namespace borageford::test {

inline const policy::time_point start_time = policy::time_point{} + std::chrono::hours(1);
inline constexpr policy::service_key engines = 77;

/// A request to `engines` that arrives at `now` and leaves 10 s for its answer.
[[nodiscard]] inline policy::slot_request sample_slot_request(policy::slot_ticket ticket,
                                                              policy::time_point now = start_time) {
    policy::slot_request request;
    request.ticket = ticket;
    request.service = engines;
    request.arrived = now;
    request.deadline = now + std::chrono::seconds(10);
    request.target = std::chrono::milliseconds(500);
    return request;
}

} // namespace borageford::test
