// Defines the names, help texts and labels of an entry's metrics.
#include "entry/entry_metrics.hpp"

#include <string>

namespace borageford::entry {
namespace {

double seconds(std::chrono::steady_clock::duration time) {
    return std::chrono::duration<double>(time).count();
}

} // namespace

entry_metrics::entry_metrics(metrics::registry& registry)
    : m_registry(registry),
      m_received(registry.get_counter("borageford_requests_received_total", "Requests that callers sent.")),
      m_answered(registry.get_counter("borageford_requests_answered_total", "Answers written to their end.")),
      m_offered(registry.get_counter("borageford_offers_total", "Offers sent to sidecars.")),
      m_started(registry.get_counter("borageford_starts_total", "Starts sent to sidecars.")),
      m_placed_again(registry.get_counter("borageford_placed_again_total",
                                          "Requests placed anew after a start that did not run.")),
      m_withdrawn(registry.get_counter("borageford_withdrawals_total", "Offers withdrawn.")),
      m_attached(registry.get_counter("borageford_attached_total",
                                      "Requests that joined an answer running or held already.")),
      m_caller_left(registry.get_counter("borageford_callers_left_total",
                                         "Callers gone before the end of their answer.")) {}

void entry_metrics::count_received() {
    m_received.add();
}

void entry_metrics::count_failed(error_kind kind) {
    const auto& row = answer_for(kind);
    m_registry
        .get_counter("borageford_requests_failed_total", "Requests that ended with an error.",
                     {{"kind", std::string(row.name)}, {"ran", std::string(to_string(row.ran))}})
        .add();
}

void entry_metrics::count_answered() {
    m_answered.add();
}

void entry_metrics::count_offer() {
    m_offered.add();
}

void entry_metrics::count_start() {
    m_started.add();
}

void entry_metrics::count_placed_again() {
    m_placed_again.add();
}

void entry_metrics::count_withdrawal() {
    m_withdrawn.add();
}

void entry_metrics::count_attached() {
    m_attached.add();
}

void entry_metrics::count_caller_left() {
    m_caller_left.add();
}

metrics::histogram& entry_metrics::find_histogram(std::string_view name, std::string_view help,
                                                  const call& request) {
    return m_registry.get_histogram(name, help,
                                    {{"workspace", request.workspace->name}, {"tier", request.tier->name}});
}

void entry_metrics::record_queue_wait(const call& request, std::chrono::steady_clock::duration time) {
    find_histogram("borageford_queue_wait_seconds", "From a request's arrival to its start.", request)
        .record(seconds(time));
}

void entry_metrics::record_first_token(const call& request, std::chrono::steady_clock::duration time) {
    find_histogram("borageford_first_token_seconds",
                   "From a request's arrival to the first piece of its answer.", request)
        .record(seconds(time));
}

void entry_metrics::record_between_tokens(const call& request, std::chrono::steady_clock::duration time) {
    find_histogram("borageford_between_tokens_seconds", "Between two pieces of an answer.", request)
        .record(seconds(time));
}

void entry_metrics::record_total(const call& request, std::chrono::steady_clock::duration time) {
    find_histogram("borageford_request_seconds", "From a request's arrival to the end of its answer.",
                   request)
        .record(seconds(time));
}

} // namespace borageford::entry
