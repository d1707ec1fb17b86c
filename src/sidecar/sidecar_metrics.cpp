// Implementation of sidecar_metrics: the names and help texts of the metrics.
#include "sidecar/sidecar_metrics.hpp"

#include <string>

namespace borageford::sidecar {

sidecar_metrics::sidecar_metrics(metrics::registry& registry)
    : m_registry(registry),
      m_offers(registry.get_counter("borageford_sidecar_offers_total", "Offers that came in.")),
      m_grants(registry.get_counter("borageford_sidecar_grants_total", "Grants given.")),
      m_expired_grants(
          registry.get_counter("borageford_sidecar_lapses_total", "Grants whose start did not come.")),
      m_withdrawals(registry.get_counter("borageford_sidecar_withdrawals_total", "Offers withdrawn.")),
      m_starts(registry.get_counter("borageford_sidecar_starts_total", "Dispatches started.")),
      m_attachments(registry.get_counter("borageford_sidecar_attachments_total",
                                         "Connections attached to a started dispatch.")),
      m_cancellations(registry.get_counter("borageford_sidecar_cancellations_total",
                                           "Dispatches cancelled since nobody waited for them.")),
      m_backend_deaths(registry.get_counter("borageford_sidecar_backend_deaths_total",
                                            "Times the backend server was found gone.")),
      m_orders(registry.get_counter("borageford_sidecar_orders_total", "Orders given to the engine.")),
      m_prompt_tokens(registry.get_counter("borageford_sidecar_prompt_tokens_total", "Tokens of prompts.")),
      m_cached_tokens(registry.get_counter("borageford_sidecar_cached_tokens_total",
                                           "Tokens of prompts that the engine had cached.")),
      m_output_tokens(registry.get_counter("borageford_sidecar_output_tokens_total", "Tokens of answers.")) {}

void sidecar_metrics::refused(error_kind kind, unsigned tier) {
    m_registry
        .get_counter("borageford_sidecar_refusals_total", "Offers refused or not begun, by kind and tier.",
                     {{"kind", std::string(to_string(kind))}, {"tier", std::to_string(tier)}})
        .add();
}

void sidecar_metrics::failed(error_kind kind) {
    m_registry
        .get_counter("borageford_sidecar_failures_total", "Dispatches that ended without a whole answer.",
                     {{"kind", std::string(to_string(kind))}})
        .add();
}

void sidecar_metrics::started(const offered_request& request, duration waited) {
    m_starts.add();
    duration_histogram("borageford_sidecar_queue_wait_seconds", "From offer to start.", request)
        .record(policy::to_seconds(waited));
}

void sidecar_metrics::first_token(const offered_request& request, duration elapsed) {
    duration_histogram("borageford_sidecar_first_token_seconds", "From start to the first token.", request)
        .record(policy::to_seconds(elapsed));
}

void sidecar_metrics::between_tokens(const offered_request& request, duration elapsed) {
    duration_histogram("borageford_sidecar_between_tokens_seconds", "Between two tokens of an answer.",
                       request)
        .record(policy::to_seconds(elapsed));
}

void sidecar_metrics::ended(const dispatch_record& dispatch, duration elapsed, const backend::usage& usage) {
    m_prompt_tokens.add(usage.prompt_tokens);
    m_cached_tokens.add(usage.cached_tokens);
    m_output_tokens.add(usage.output_tokens);
    duration_histogram("borageford_sidecar_total_seconds", "From start to the end of the answer.",
                       dispatch.request)
        .record(policy::to_seconds(elapsed));
}

metrics::histogram& sidecar_metrics::duration_histogram(std::string_view name, std::string_view help,
                                                        const offered_request& request) {
    return m_registry.get_histogram(
        name, help, {{"workspace", request.workspace}, {"tier", std::to_string(request.tier)}});
}

} // namespace borageford::sidecar
