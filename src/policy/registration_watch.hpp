// Tells a backend server that has left from one whose registration vanished because the store was away.
#pragma once

#include "policy/time.hpp"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace borageford::policy {

/// Registrations expire in the store without their servers' heartbeats, also while the store itself takes
/// none. Taking all servers for gone after an outage would refuse every request until they are back. So a
/// registration that vanishes around an outage is missed for a while, and only then taken as gone.
class registration_watch {
public:
    /// How long after an outage servers have to register anew. The store's users promise about two seconds.
    static constexpr duration grace = std::chrono::milliseconds(2300);

    /// How long the word of another process counts, that the store answers it. They tell it several times a
    /// second.
    static constexpr duration word_life = std::chrono::milliseconds(600);

    /// Word of before an outage may still be under way when it ends.
    static constexpr duration word_delay = std::chrono::milliseconds(100);

    /// The store couldn't be reached from here, and had answered last at `answered`. Where it answers another
    /// process, only this one is turned away: servers renew their registrations, and one that vanishes has
    /// left. Missing such a server for a while sends requests to it after it has said that it leaves.
    void note_outage(time_point now, time_point answered) noexcept;
    void note_outage(time_point now) noexcept { note_outage(now, now); }
    /// The store has come back from an older copy, in which registrations are missing.
    void note_return_from_copy(time_point now) noexcept;
    /// Another process says that the store answers it, and has answered it without a break for so long. Where
    /// this process was cut off from all others as well, it hears so only afterwards: the outage was its own
    /// then, and servers that were missed for it have left.
    void note_other_in_touch(time_point now, duration unbroken = duration::zero());

    /// A registration vanished: true when the server is to be taken as gone now; false when it is missed.
    [[nodiscard]] bool is_gone(std::string_view server, time_point now);
    /// A registration is missed by another process, whose word is relied on here.
    void note_missed(std::string_view server, time_point now);
    /// Servers that are missed.
    [[nodiscard]] std::vector<std::string> missed() const;
    /// A registration is there.
    void note_present(std::string_view server);

    /// Missed servers whose time is over; they are to be taken as gone.
    [[nodiscard]] std::vector<std::string> take_expired(time_point now);

private:
    [[nodiscard]] bool is_around_outage(time_point now) const noexcept;
    void disown_outage(time_point now);

    time_point m_last_outage = time_point::min();  ///< min: none, or none of the store's own
    time_point m_outage_begin = time_point::min(); ///< of a series with gaps shorter than `grace`
    time_point m_other_in_touch = time_point::min();
    std::map<std::string, time_point, std::less<>> m_missed; ///< until when each is missed
};

} // namespace borageford::policy
