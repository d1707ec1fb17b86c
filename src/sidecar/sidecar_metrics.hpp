// The metrics of a sidecar.
#pragma once

#include "base/error_kind.hpp"
#include "metrics/registry.hpp"
#include "sidecar/dispatch_record.hpp"

#include <cstddef>

namespace borageford::sidecar {

/// Counters and histograms of a sidecar. Each function records one event; durations are recorded in seconds.
class sidecar_metrics {
public:
    explicit sidecar_metrics(metrics::registry& registry);

    void offered() { m_offers.add(); }
    void granted() { m_grants.add(); }
    void grant_expired() { m_expired_grants.add(); }
    void withdrawn() { m_withdrawals.add(); }
    void attached() { m_attachments.add(); }
    void cancelled() { m_cancellations.add(); }
    void backend_died() { m_backend_deaths.add(); }
    void ordered() { m_orders.add(); }
    /// An offer was refused, or a queued or granted offer ended without being started.
    void refused(error_kind kind, unsigned tier);
    /// A dispatch ended without a complete answer.
    void failed(error_kind kind);

    void started(const offered_request& request, duration waited);
    void first_token(const offered_request& request, duration elapsed);
    void between_tokens(const offered_request& request, duration elapsed);
    void ended(const dispatch_record& dispatch, duration elapsed, const backend::usage& usage);

private:
    metrics::histogram& duration_histogram(std::string_view name, std::string_view help,
                                           const offered_request& request);

    metrics::registry& m_registry;
    metrics::counter& m_offers;
    metrics::counter& m_grants;
    metrics::counter& m_expired_grants;
    metrics::counter& m_withdrawals;
    metrics::counter& m_starts;
    metrics::counter& m_attachments;
    metrics::counter& m_cancellations;
    metrics::counter& m_backend_deaths;
    metrics::counter& m_orders;
    metrics::counter& m_prompt_tokens;
    metrics::counter& m_cached_tokens;
    metrics::counter& m_output_tokens;
};

} // namespace borageford::sidecar
