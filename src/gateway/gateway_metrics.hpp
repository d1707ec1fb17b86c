// What a gateway counts and measures, for each workspace and tier.
#pragma once

#include "base/error_kind.hpp"
#include "gateway/admitted_request.hpp"
#include "metrics/registry.hpp"
#include "policy/slot_request.hpp"

#include <chrono>
#include <string_view>

namespace borageford::gateway {

class gateway_metrics {
public:
    using duration = std::chrono::steady_clock::duration;

    explicit gateway_metrics(metrics::registry& registry) : m_registry(registry) {}

    /// An answer of a backend server was passed on whole; `status` is the server's.
    void count_answered(const admitted_request& request, unsigned status, duration total);
    /// The gateway answered with an error of its own. `request` is null when it wasn't admitted.
    void count_refused(const admitted_request* request, error_kind kind);
    /// A stream was ended in the middle.
    void count_cut(const admitted_request& request);
    void count_abandoned(const admitted_request& request);
    /// What a backend server made of one try.
    void count_try(const admitted_request& request, policy::slot_outcome outcome);

    /// From a request's arrival to its slot.
    void record_wait(const admitted_request& request, duration wait);
    /// From a request's arrival to the first event of its stream.
    void record_first_event(const admitted_request& request, duration time);

private:
    [[nodiscard]] metrics::histogram& timing(std::string_view name, std::string_view help,
                                             const admitted_request& request);

    metrics::registry& m_registry;
};

} // namespace borageford::gateway
