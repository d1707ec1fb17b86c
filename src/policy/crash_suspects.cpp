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
constexpr milliseconds cut_lifetime{3000};
constexpr std::size_t most_cuts = 4096;
/// More servers than crash within `cut_lifetime`, unless a complete failure domain is lost.
constexpr std::size_t most_ended = 512;
constexpr std::size_t servers_before_hold = 2;
/// Long enough for an operator to investigate, short enough that an innocent request isn't refused for good.
constexpr seconds hold_time{60};
constexpr seconds mark_lifetime{300};

} // namespace

crash_suspects::crash_suspects() : m_quarantine({servers_before_hold, hold_time, mark_lifetime, most_cuts}) {}

void crash_suspects::forget_old(time_point now) {
    while (!m_cuts.empty() && (now - m_cuts.front().at > cut_lifetime || m_cuts.size() > most_cuts)) {
        m_cuts.pop_front();
    }
    while (!m_ended.empty() && (now - m_ended.front().at > cut_lifetime || m_ended.size() > most_ended)) {
        m_ended.pop_front();
    }
}

void crash_suspects::mark(std::uint64_t fingerprint, server_key server, time_point now) {
    const identifier death{server, fingerprint};
    m_quarantine.record_mark(fingerprint, std::to_string(server), death, now);
}

bool crash_suspects::has_restarted(server_key server) const {
    return std::ranges::any_of(m_ended,
                               [server](const ended_start& ended) { return ended.server == server; });
}

void crash_suspects::note_cut(std::uint64_t fingerprint, server_key server, time_point now) {
    if (fingerprint == 0) {
        return;
    }
    forget_old(now);
    if (has_restarted(server)) {
        mark(fingerprint, server, now);
        return;
    }
    m_cuts.push_back({fingerprint, server, now});
}

void crash_suspects::note_gone(server_key server, time_point now) {
    forget_old(now);
    for (const auto& entry : m_cuts) {
        if (entry.server == server) {
            mark(entry.fingerprint, server, now);
        }
    }
    std::erase_if(m_cuts, [server](const cut& entry) { return entry.server == server; });
}

void crash_suspects::note_restart(server_key former, time_point now) {
    note_gone(former, now);
    m_ended.push_back({former, now});
}

std::optional<duration> crash_suspects::held_for(std::uint64_t fingerprint, time_point now) const {
    return fingerprint == 0 ? std::nullopt : m_quarantine.time_left(fingerprint, now);
}

} // namespace borageford::policy
