// Finds requests that crash the backend servers that run them, and holds them back.
#pragma once

#include "policy/quarantine.hpp"
#include "policy/slot_request.hpp"

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>

namespace borageford::policy {

/// A single request that crashes every server that runs it comes again and again, since its caller sees only
/// broken connections; each time it takes the other requests of that server with it. All requests that were
/// cut when a server turned out to be gone are marked; one that is marked at two servers is held back.
class crash_suspects {
public:
    crash_suspects();

    /// A request's connection broke while this server ran it.
    void note_cut(std::uint64_t fingerprint, server_key server, time_point now);
    /// The server doesn't take connections, or another one answers at its address: what was cut there lately
    /// was cut by a crash.
    void note_gone(server_key server, time_point now);
    /// The server has ended and started anew. Cuts there may be noticed later than that: connections that
    /// went silent are ended only when the new start is known.
    void note_restart(server_key former, time_point now);

    /// How much longer the request is held back; nothing when it isn't.
    [[nodiscard]] std::optional<duration> held_for(std::uint64_t fingerprint, time_point now) const;

private:
    struct cut {
        std::uint64_t fingerprint = 0;
        server_key server = 0;
        time_point at;
    };

    struct ended_start {
        server_key server = 0;
        time_point at;
    };

    void forget_old(time_point now);
    void mark(std::uint64_t fingerprint, server_key server, time_point now);
    [[nodiscard]] bool has_restarted(server_key server) const;

    quarantine m_quarantine;
    std::deque<cut> m_cuts;          ///< oldest first
    std::deque<ended_start> m_ended; ///< oldest first
};

} // namespace borageford::policy
