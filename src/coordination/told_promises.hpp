// The promises of room that this process has passed on to refused callers, for the next coordinator.
#pragma once

#include "policy/return_promise.hpp"
#include "policy/slot_request.hpp"
#include "policy/time.hpp"

#include <deque>
#include <vector>

namespace borageford::coordination {

/// The coordinator that made a promise may be lost before the caller comes back, and its successor would give
/// the room away. Each member keeps the promises that it told its callers and lists them to a new
/// coordinator.
class told_promises {
public:
    /// A request of this process was refused. Does nothing unless its caller was promised a time.
    void record(const policy::slot_request& request, const policy::slot_refusal& refusal,
                policy::time_point now);
    /// The promises whose callers may still come back, oldest first.
    [[nodiscard]] std::vector<policy::return_promise> list(policy::time_point now);

private:
    std::deque<policy::return_promise> m_promises; ///< in the order in which they were told
};

} // namespace borageford::coordination
