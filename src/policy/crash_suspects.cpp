// Keeps the ends and the crashes of the last seconds.
#include "policy/crash_suspects.hpp"

#include <algorithm>
#include <utility>

namespace borageford::policy {

namespace {

using std::chrono::milliseconds;

/// Longer than it takes a store to remove the registration of a server that crashed.
constexpr milliseconds memory{5000};
constexpr std::size_t max_ended = 4096;
/// More servers than crash within `memory`, unless a complete failure domain is lost.
constexpr std::size_t max_crashes = 512;
/// For how long a server may run a request that was abandoned.
constexpr milliseconds run_on{500};

} // namespace

void crash_suspects::forget_old(time_point now) {
    while (!m_ended.empty() && (now - m_ended.front().at > memory || m_ended.size() > max_ended)) {
        m_ended.pop_front();
    }
    while (!m_crashes.empty() && (now - m_crashes.front().at > memory || m_crashes.size() > max_crashes)) {
        m_crashes.pop_front();
    }
}

bool crash_suspects::has_crashed(server_key server) const {
    return std::ranges::find(m_crashes, server, &crash::server) != m_crashes.end();
}

bool crash_suspects::has_suspects(server_key server) const {
    return std::ranges::find(m_ended, server, &ended::server) != m_ended.end();
}

bool crash_suspects::record_end(server_key server, std::span<const crash_suspect> suspects,
                                unanswered_end how, time_point now) {
    forget_old(now);
    if (has_crashed(server)) {
        return true;
    }
    for (const auto& suspect : suspects) {
        m_ended.push_back({suspect, server, now, how});
    }
    return false;
}

std::vector<crash_suspect> crash_suspects::record_crash(server_key server, time_point now) {
    auto result = record_removal(server, now);
    if (!has_crashed(server)) {
        m_crashes.push_back({server, now});
    }
    return result;
}

std::vector<crash_suspect> crash_suspects::record_removal(server_key server, time_point now) {
    forget_old(now);
    std::vector<crash_suspect> result;
    for (const auto& entry : m_ended) {
        if (entry.server == server) {
            result.push_back(entry.suspect);
        }
    }
    record_leaving(server);
    return result;
}

void crash_suspects::record_alive(server_key server, time_point accepted, time_point now) {
    if (m_ended.empty()) {
        return;
    }
    std::erase_if(m_ended, [&](const ended& entry) {
        const auto last_moment = entry.how == unanswered_end::abandoned ? entry.at + run_on : entry.at;
        return entry.server == server && accepted < entry.at && last_moment < now;
    });
}

void crash_suspects::record_leaving(server_key server) {
    std::erase_if(m_ended, [server](const ended& entry) { return entry.server == server; });
}

} // namespace borageford::policy
