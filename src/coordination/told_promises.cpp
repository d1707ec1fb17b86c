// Implements told_promises as a bounded queue.
#include "coordination/told_promises.hpp"

#include <cstddef>

namespace borageford::coordination {

namespace {

/// Bounds the memory and the size of the first batch to a new coordinator. Promises beyond this are lost with
/// the coordinator.
constexpr std::size_t max_promises = 400;

} // namespace

void told_promises::record(const policy::slot_request& request, const policy::slot_refusal& refusal,
                           policy::time_point now) {
    if (refusal.reason != policy::refusal_reason::return_promised) {
        return;
    }
    if (m_promises.size() >= max_promises) {
        m_promises.pop_front();
    }
    m_promises.push_back(
        {request.fingerprint, request.service, request.workspace, request.tier, now + refusal.retry_after});
}

std::vector<policy::return_promise> told_promises::list(policy::time_point now) {
    std::erase_if(m_promises, [now](const policy::return_promise& told) {
        return told.due + policy::max_return_lateness < now;
    });
    return {m_promises.begin(), m_promises.end()};
}

} // namespace borageford::coordination
