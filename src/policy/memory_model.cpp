// Implementation of memory_model.
#include "policy/memory_model.hpp"

#include <algorithm>
#include <chrono>

namespace borageford::policy {

namespace {

/// Changes of the output ratio with an answer that was longer than expected and with one that wasn't. They
/// cancel out when one answer of ten is longer.
constexpr double ratio_step_up = 0.09;
constexpr double ratio_step_down = 0.01;
constexpr double max_output_ratio = 3;

/// After a crash, engines are given this part of what the crashed one held. With it, a few crashes suffice to
/// find the memory of any engine that has `min_usable_share` of what it said.
constexpr double overflow_factor = 0.85;
/// Most crashes have other causes, so they take no more than this from the engines of a service, and say
/// nothing about the memory of engines that held less.
constexpr double min_usable_share = 0.5;
/// Part of the capacity that is given back after each `recovery_time` without an overflow.
constexpr double recovery_step = 0.1;
constexpr std::chrono::seconds recovery_time{60};

} // namespace

void memory_model::set_capacity(service_key service, double tokens) {
    auto& memory = m_services[service];
    if (memory.capacity != tokens) {
        memory.capacity = tokens;
        memory.usable_share = 1;
    }
}

const memory_model::service_memory* memory_model::find(service_key service) const {
    const auto found = m_services.find(service);
    return found == m_services.end() ? nullptr : &found->second;
}

bool memory_model::is_limited(service_key service) const {
    const auto* memory = find(service);
    return memory != nullptr && memory->capacity > 0;
}

double memory_model::expect(service_key service, const token_cost& cost) const {
    const auto* memory = find(service);
    if (memory == nullptr) {
        return cost.prompt + cost.output;
    }
    const double tokens = cost.prompt + cost.output * memory->output_ratio;
    return memory->capacity > 0 ? std::min(tokens, memory->capacity * memory->usable_share) : tokens;
}

void memory_model::learn_output(service_key service, double expected, double output) {
    const auto found = m_services.find(service);
    if (found == m_services.end() || expected <= 0 || output <= 0) {
        return;
    }
    auto& ratio = found->second.output_ratio;
    const double step = output > expected * ratio ? ratio_step_up : -ratio_step_down;
    ratio = std::clamp(ratio + step, 1.0, max_output_ratio);
}

/// Processes without a coordinator share the memory like the slots: each may use its part, but also as much
/// as one place takes, as it may send each server at least one request. Together they stay within the memory
/// as long as they aren't more than the places.
double memory_model::limit(service_key service, double share, double places) const {
    const auto* memory = find(service);
    if (memory == nullptr) {
        return 0;
    }
    const double usable = memory->capacity * memory->usable_share;
    return usable * std::min(1.0, std::max(share, 1 / std::max(1.0, places)));
}

bool memory_model::learn_overflow(service_key service, double held, time_point now) {
    const auto found = m_services.find(service);
    if (found == m_services.end() || held <= found->second.capacity * min_usable_share) {
        return false;
    }
    auto& memory = found->second;
    const double usable = std::max(min_usable_share, held * overflow_factor / memory.capacity);
    memory.changed = now;
    if (usable >= memory.usable_share) {
        return false;
    }
    memory.usable_share = usable;
    return true;
}

bool memory_model::recover(time_point now) {
    bool has_changed = false;
    for (auto& [service, memory] : m_services) {
        if (memory.usable_share < 1 && now - memory.changed >= recovery_time) {
            memory.usable_share = std::min(1.0, memory.usable_share + recovery_step);
            memory.changed = now;
            has_changed = true;
        }
    }
    return has_changed;
}

} // namespace borageford::policy
