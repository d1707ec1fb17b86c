// Implementation of gateway_metrics: names, help texts and labels of the metrics.
#include "gateway/gateway_metrics.hpp"

#include <string>

namespace borageford::gateway {

namespace {

constexpr std::string_view no_workspace = "none";

double seconds(gateway_metrics::duration time) {
    return std::chrono::duration<double>(time).count();
}

std::string workspace_of(const admitted_request* request) {
    const bool is_known = request != nullptr && request->workspace != nullptr;
    return is_known ? request->workspace->name : std::string(no_workspace);
}

std::string tier_of(const admitted_request* request) {
    return request != nullptr ? std::to_string(request->tier) : "none";
}

} // namespace

void gateway_metrics::count_answered(const admitted_request& request, unsigned status, duration total) {
    m_registry
        .get_counter("borageford_gateway_answered_total", "Answers of backend servers passed on whole.",
                     {{"workspace", workspace_of(&request)},
                      {"tier", tier_of(&request)},
                      {"status", std::to_string(status)}})
        .add();
    timing("borageford_gateway_request_seconds", "From a request's arrival to the end of its answer.",
           request)
        .record(seconds(total));
}

void gateway_metrics::count_refused(const admitted_request* request, error_kind kind) {
    m_registry
        .get_counter("borageford_gateway_refused_total", "Requests that got an error of the gateway's own.",
                     {{"workspace", workspace_of(request)},
                      {"tier", tier_of(request)},
                      {"error", std::string(to_string(kind))}})
        .add();
}

void gateway_metrics::count_aborted(const admitted_request& request) {
    m_registry
        .get_counter("borageford_gateway_cut_total", "Streams ended in the middle.",
                     {{"workspace", workspace_of(&request)}, {"tier", tier_of(&request)}})
        .add();
}

void gateway_metrics::count_resumed(const admitted_request& request, std::string_view known_by) {
    m_registry
        .get_counter("borageford_gateway_resumed_total",
                     "Streams that went on at the software version that began them.",
                     {{"service", request.service->name}, {"known_by", std::string(known_by)}})
        .add();
}

void gateway_metrics::count_abandoned(const admitted_request& request) {
    m_registry
        .get_counter("borageford_gateway_abandoned_total", "Callers gone before the end of their answer.",
                     {{"workspace", workspace_of(&request)}, {"tier", tier_of(&request)}})
        .add();
}

void gateway_metrics::count_slow_caller_cut(std::string_view reason) {
    m_registry
        .get_counter("borageford_gateway_slow_callers_cut_total",
                     "Connections ended since their callers read too slowly.",
                     {{"reason", std::string(reason)}})
        .add();
}

void gateway_metrics::count_paused_call() {
    m_registry
        .get_counter("borageford_gateway_paused_calls_total",
                     "Pauses in answers of servers, which wait for their callers to read.")
        .add();
}

void gateway_metrics::count_attempt(const admitted_request& request, policy::slot_outcome outcome) {
    m_registry
        .get_counter("borageford_gateway_tries_total",
                     "What backend servers made of the requests sent to them.",
                     {{"service", request.service->name}, {"outcome", std::string(to_string(outcome))}})
        .add();
}

void gateway_metrics::record_wait(const admitted_request& request, duration wait) {
    timing("borageford_gateway_wait_seconds", "From a request's arrival to its slot.", request)
        .record(seconds(wait));
}

void gateway_metrics::record_first_event(const admitted_request& request, duration time) {
    timing("borageford_gateway_first_event_seconds",
           "From a request's arrival to the first event of its stream.", request)
        .record(seconds(time));
}

metrics::histogram& gateway_metrics::timing(std::string_view name, std::string_view help,
                                            const admitted_request& request) {
    return m_registry.get_histogram(name, help,
                                    {{"workspace", workspace_of(&request)}, {"tier", tier_of(&request)}});
}

} // namespace borageford::gateway
