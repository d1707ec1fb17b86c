// Distinguishes a backend server that has shut down from one whose registration disappeared because the store
// was unavailable.
#pragma once

#include "policy/time.hpp"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace borageford::policy {

/// Registrations expire in the store when the servers' heartbeats don't arrive, also while the store itself
/// accepts no calls. If all these servers were removed after an outage, every request would be refused until
/// they have registered again. So a registration that disappears around an outage of the store is retained
/// for a while before the server is removed.
class registration_watch {
public:
    /// How long after an outage a registration is retained, so that its server can register again. The
    /// store's clients promise to do so within about two seconds of its return. One that vanishes later in
    /// this time isn't retained longer: its server has had as much time as the others.
    static constexpr duration grace = std::chrono::milliseconds(2300);

    /// How long another process's message that the store answers it stays valid. Processes send this message
    /// several times per second.
    static constexpr duration message_lifetime = std::chrono::milliseconds(600);

    /// Messages sent before an outage may arrive this long after its end.
    static constexpr duration message_delay = std::chrono::milliseconds(100);

    /// Records that this process couldn't reach the store, which had last answered at `answered`. The outage
    /// is ignored when another process has recently reported that the store answers it: then only this
    /// process is affected, servers still renew their registrations, and a registration that disappears
    /// belongs to a server that has shut down. Retaining it would send requests to that server.
    void record_outage(time_point now, time_point answered) noexcept;
    void record_outage(time_point now) noexcept { record_outage(now, now); }
    /// Records that the store was restored from an older copy, in which registrations are missing.
    void record_store_restore(time_point now) noexcept;
    /// Records another process's message that the store answers it and has answered it without interruption
    /// for `unbroken`. A process that was disconnected from all others as well receives such a message only
    /// afterwards. If `unbroken` covers the outage, only this process was affected, and the servers that it
    /// retained for the outage have shut down.
    void record_other_connected(time_point now, duration unbroken = duration::zero());

    /// A registration has disappeared. Returns true when the server must be removed now, false when its
    /// registration is retained.
    [[nodiscard]] bool should_remove(std::string_view server, time_point now);
    /// Retains a registration for `grace` after `outage`. Another process, which this one relies on, has
    /// announced it as retained.
    void retain_registration(std::string_view server, time_point outage);
    /// Servers with a retained registration.
    [[nodiscard]] std::vector<std::string> retained() const;
    /// Records that the server is registered, which ends the retention.
    void record_present(std::string_view server);

    /// Removes and returns the servers whose retention time is over. The caller must remove these servers.
    [[nodiscard]] std::vector<std::string> take_expired(time_point now);

private:
    [[nodiscard]] bool is_around_outage(time_point now) const noexcept;
    void discard_outage(time_point now);

    /// min: there was none, or it affected only this process
    time_point m_last_outage = time_point::min();
    /// start of a series of outages with gaps shorter than `grace`
    time_point m_outage_begin = time_point::min();
    /// When another process last reported that the store answers it; min: never.
    time_point m_other_connected_at = time_point::min();
    /// Retained servers, and until when each is retained.
    std::map<std::string, time_point, std::less<>> m_retained;
};

} // namespace borageford::policy
