// Finds out which requests of a gateway may have crashed a backend server.
#pragma once

#include "policy/crash_mark.hpp"
#include "policy/slot_request.hpp"
#include "policy/time.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <span>
#include <vector>

namespace borageford::policy {

/// How a request ended that a server may have run, and that it hadn't answered by then.
enum class unanswered_end : std::uint8_t {
    broken,    ///< its connection broke, or its answer ended with its connection
    abandoned, ///< its caller left, or its deadline passed; the server may go on running it for a moment
};

/// Matches requests that ended without an answer with the crashes of their servers. Both become known in
/// either order, and a crash some seconds late: by a connection that is refused, by another server at the
/// same address, by a registration of a new start or by one that was removed.
class crash_suspects {
public:
    /// A request, or what it contains, may be what crashed the server. Returns whether the server has crashed
    /// for all that is known; then nothing is remembered, and the suspects are to be marked at once.
    bool record_end(server_key server, std::span<const crash_suspect> suspects, unanswered_end how,
                    time_point now);
    /// This start of a server has ended without notice. Returns what may have crashed it. Requests that end
    /// there later are suspect, too, because unresponsive connections are closed only when the crash is
    /// known.
    [[nodiscard]] std::vector<crash_suspect> record_crash(server_key server, time_point now);
    /// The registration of a server was removed although it hadn't announced that it drains. It may have
    /// crashed without closing its connections, or it leaves without notice and goes on serving what it has:
    /// only requests that ended before are suspect.
    [[nodiscard]] std::vector<crash_suspect> record_removal(server_key server, time_point now);
    /// The start of a server that had accepted a connection at `accepted` lives at `now`, so no request that
    /// ended in between has crashed it.
    void record_alive(server_key server, time_point accepted, time_point now);
    /// The server has announced that it leaves: its end is no crash.
    void record_leaving(server_key server);
    /// Whether requests of this server are remembered.
    [[nodiscard]] bool has_suspects(server_key server) const;

private:
    /// A request, or a part of one, that ended without an answer.
    struct ended {
        crash_suspect suspect;
        server_key server = 0;
        time_point at;
        unanswered_end how = unanswered_end::broken;
    };
    struct crash {
        server_key server = 0;
        time_point at;
    };

    void forget_old(time_point now);
    [[nodiscard]] bool has_crashed(server_key server) const;

    std::deque<ended> m_ended;   ///< oldest first
    std::deque<crash> m_crashes; ///< oldest first
};

} // namespace borageford::policy
