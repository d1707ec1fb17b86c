// Evaluates the samples one window at a time.
#include "policy/limit_controller.hpp"

#include <algorithm>

namespace borageford::policy {
namespace {

/// Samples kept of one window; further ones are dropped.
constexpr std::size_t max_samples = 1024;
/// Smallest factor by which one window may change the limit.
constexpr double min_shrink_factor = 0.5;
/// A reduction aims slightly below the target, so that the next window doesn't exceed it again.
constexpr double shrink_margin = 0.95;
/// Growth for each window, as a fraction of the limit, before the limit has shrunk for the first time.
constexpr double fast_growth = 0.3;
/// Growth for each window, as a fraction of the limit, after the limit has shrunk.
constexpr double slow_growth = 0.08;
/// The limit doesn't grow while the measured time exceeds this fraction of the target.
constexpr double growth_threshold = 0.85;
/// The limit counts as nearly used up when the peak use reaches this fraction of it.
constexpr double near_limit_share = 0.75;

} // namespace

limit_controller::limit_controller(limit_controller_settings settings)
    : m_settings(settings), m_limit(std::clamp(settings.initial, settings.minimum, settings.maximum)) {
    m_samples.reserve(max_samples);
}

void limit_controller::record(duration measured, double in_use, time_point now) {
    if (m_samples.empty()) {
        m_window_start = now;
        m_peak_use = 0;
    }
    if (m_samples.size() < max_samples) {
        m_samples.push_back(to_seconds(measured));
    }
    m_peak_use = std::max(m_peak_use, in_use);
    const auto age = now - m_window_start;
    const bool is_full = age >= m_settings.window && m_samples.size() >= m_settings.samples;
    if (is_full || age >= m_settings.longest_window) {
        evaluate_window();
        m_samples.clear();
    }
}

void limit_controller::set_maximum(double maximum) noexcept {
    m_settings.maximum = std::max(maximum, m_settings.minimum);
    m_limit = std::clamp(m_limit, m_settings.minimum, m_settings.maximum);
}

void limit_controller::evaluate_window() {
    const auto count = m_samples.size();
    const auto index = std::min(count - 1, static_cast<std::size_t>(m_settings.quantile * count));
    const auto place = m_samples.begin() + static_cast<std::ptrdiff_t>(index);
    std::ranges::nth_element(m_samples, place);
    if (*place > m_settings.target_seconds) {
        shrink(*place);
    } else if (*place < growth_threshold * m_settings.target_seconds) {
        grow(*place);
    }
}

void limit_controller::shrink(double measured) {
    m_has_shrunk = true;
    const double fitting = shrink_margin * m_peak_use * m_settings.target_seconds / measured;
    const double reduced = std::max(fitting, min_shrink_factor * m_limit);
    m_limit = std::clamp(std::min(reduced, m_limit), m_settings.minimum, m_settings.maximum);
}

void limit_controller::grow(double measured) {
    if (m_peak_use < near_limit_share * m_limit) {
        return;
    }
    const double headroom = std::min(1.0, m_settings.target_seconds / measured - 1);
    const double share = m_has_shrunk ? slow_growth : fast_growth;
    const double step = std::max(share * headroom * m_limit, share * m_settings.minimum);
    m_limit = std::min(m_limit + step, m_settings.maximum);
}

} // namespace borageford::policy
