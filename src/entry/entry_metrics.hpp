// What an entry counts and times.
#pragma once

#include "base/error_kind.hpp"
#include "entry/call.hpp"
#include "metrics/registry.hpp"

#include <chrono>

namespace borageford::entry {

class entry_metrics {
public:
    explicit entry_metrics(metrics::registry& registry);

    void received();
    /// The request ended with this error; also counts by whether it ran.
    void failed(error_kind kind);
    void answered();
    void offered();
    void started();
    /// Placed again after a start that certainly didn't run.
    void placed_again();
    void withdrawn();
    /// Joined an answer that was running or held already.
    void attached();
    void caller_left();

    void queue_wait(const call& request, std::chrono::steady_clock::duration time);
    void first_token(const call& request, std::chrono::steady_clock::duration time);
    void between_tokens(const call& request, std::chrono::steady_clock::duration time);
    void total(const call& request, std::chrono::steady_clock::duration time);

private:
    metrics::histogram& timing(std::string_view name, std::string_view help, const call& request);

    metrics::registry& m_registry;
    metrics::counter& m_received;
    metrics::counter& m_answered;
    metrics::counter& m_offered;
    metrics::counter& m_started;
    metrics::counter& m_placed_again;
    metrics::counter& m_withdrawn;
    metrics::counter& m_attached;
    metrics::counter& m_caller_left;
};

} // namespace borageford::entry
