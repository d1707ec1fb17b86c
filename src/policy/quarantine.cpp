// Stores the marks by fingerprint and computes all results from them.
#include "policy/quarantine.hpp"

#include <algorithm>

namespace borageford::policy {
namespace {

/// Maximum number of marks kept for one fingerprint; further marks wouldn't change the result.
constexpr std::size_t max_crashes = 16;

} // namespace

quarantine::quarantine(quarantine_settings settings) : m_settings(settings) {}

bool quarantine::record_mark(std::uint64_t fingerprint, std::string_view backend_server,
                             const identifier& mark, time_point now) {
    if (m_crashes.size() >= m_settings.most_fingerprints && !m_crashes.contains(fingerprint)) {
        remove_oldest();
    }
    auto& crashes = m_crashes[fingerprint];
    if (std::ranges::find(crashes, mark, &crash::mark) != crashes.end()) {
        return false;
    }
    if (crashes.size() >= max_crashes) {
        crashes.erase(crashes.begin());
    }
    crashes.push_back({mark, std::string(backend_server), now});
    return true;
}

std::size_t quarantine::marks(std::uint64_t fingerprint, time_point now) const {
    const auto found = m_crashes.find(fingerprint);
    if (found == m_crashes.end()) {
        return 0;
    }
    return static_cast<std::size_t>(
        std::ranges::count_if(found->second, [&](const crash& known) { return counts(known, now); }));
}

std::optional<duration> quarantine::time_left(std::uint64_t fingerprint, time_point now) const {
    const auto found = m_crashes.find(fingerprint);
    if (found == m_crashes.end()) {
        return std::nullopt;
    }
    const auto until = quarantined_until(found->second, now);
    return until ? std::optional(*until - now) : std::nullopt;
}

std::vector<quarantined_request> quarantine::list(time_point now) const {
    std::vector<quarantined_request> listed;
    for (const auto& [fingerprint, crashes] : m_crashes) {
        const auto until = quarantined_until(crashes, now);
        if (!until) {
            continue;
        }
        quarantined_request request{fingerprint, {}, *until};
        for (const auto& known : crashes) {
            request.backend_servers.push_back(known.backend_server);
        }
        listed.push_back(std::move(request));
    }
    return listed;
}

bool quarantine::release(std::uint64_t fingerprint) {
    const auto found = m_crashes.find(fingerprint);
    if (found == m_crashes.end()) {
        return false;
    }
    for (auto& known : found->second) {
        known.is_released = true;
    }
    return true;
}

bool quarantine::counts(const crash& known, time_point when) const {
    return !known.is_released && when - known.at <= m_settings.mark_lifetime;
}

std::optional<time_point> quarantine::quarantined_until(const std::vector<crash>& crashes,
                                                        time_point now) const {
    time_point last{};
    for (const auto& known : crashes) {
        last = known.is_released ? last : std::max(last, known.at);
    }
    // Counted at the time of the last crash, since a quarantine may last longer than the marks count.
    const auto counted = static_cast<std::size_t>(
        std::ranges::count_if(crashes, [&](const crash& known) { return counts(known, last); }));
    if (counted < m_settings.crashes_before_quarantine) {
        return std::nullopt;
    }
    const bool is_further = counted > m_settings.crashes_before_quarantine;
    const auto time = is_further ? std::max(m_settings.quarantine_time, m_settings.further_quarantine_time)
                                 : m_settings.quarantine_time;
    return last + time > now ? std::optional(last + time) : std::nullopt;
}

void quarantine::remove_oldest() {
    const auto oldest =
        std::ranges::min_element(m_crashes, {}, [](const auto& entry) { return entry.second.back().at; });
    m_crashes.erase(oldest);
}

} // namespace borageford::policy
