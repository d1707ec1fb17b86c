// Records broken connections, and marks their requests when the server turns out to have crashed.
#include "policy/crash_suspects.hpp"

#include <algorithm>
#include <string>

namespace borageford::policy {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// How long a broken connection is remembered. A crash is detected by the next request to that server, which
/// arrives within this time under any relevant load.
constexpr milliseconds broken_connection_lifetime{3000};
constexpr std::size_t max_broken_connections = 4096;
/// More servers than crash within `broken_connection_lifetime`, unless a complete failure domain is lost.
constexpr std::size_t max_restarts = 512;
constexpr std::size_t crashes_before_quarantine = 2;
/// Long enough for an operator to investigate, short enough that an innocent request isn't refused for good.
constexpr seconds quarantine_time{60};
constexpr seconds mark_lifetime{300};

} // namespace

crash_suspects::crash_suspects()
    : m_quarantine({crashes_before_quarantine, quarantine_time, mark_lifetime, max_broken_connections}) {}

void crash_suspects::forget_old(time_point now) {
    while (!m_broken_connections.empty() &&
           (now - m_broken_connections.front().at > broken_connection_lifetime ||
            m_broken_connections.size() > max_broken_connections)) {
        m_broken_connections.pop_front();
    }
    while (!m_restarts.empty() &&
           (now - m_restarts.front().at > broken_connection_lifetime || m_restarts.size() > max_restarts)) {
        m_restarts.pop_front();
    }
}

void crash_suspects::mark(std::uint64_t fingerprint, server_key server, time_point now) {
    const identifier death{server, fingerprint};
    m_quarantine.record_mark(fingerprint, std::to_string(server), death, now);
}

bool crash_suspects::has_restarted(server_key server) const {
    return std::ranges::any_of(m_restarts,
                               [server](const restart& restarted) { return restarted.server == server; });
}

void crash_suspects::record_broken_connection(std::uint64_t fingerprint, server_key server, time_point now) {
    if (fingerprint == 0) {
        return;
    }
    forget_old(now);
    if (has_restarted(server)) {
        mark(fingerprint, server, now);
        return;
    }
    m_broken_connections.push_back({fingerprint, server, now});
}

void crash_suspects::record_crash(server_key server, time_point now) {
    forget_old(now);
    for (const auto& entry : m_broken_connections) {
        if (entry.server == server) {
            mark(entry.fingerprint, server, now);
        }
    }
    std::erase_if(m_broken_connections,
                  [server](const broken_connection& entry) { return entry.server == server; });
}

void crash_suspects::record_restart(server_key previous_start, time_point now) {
    record_crash(previous_start, now);
    m_restarts.push_back({previous_start, now});
}

std::optional<duration> crash_suspects::quarantine_left(std::uint64_t fingerprint, time_point now) const {
    return fingerprint == 0 ? std::nullopt : m_quarantine.time_left(fingerprint, now);
}

} // namespace borageford::policy
