// Finds requests that crash the backend servers that run them, and quarantines them.
#pragma once

#include "policy/quarantine.hpp"
#include "policy/slot_request.hpp"

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>

namespace borageford::policy {

/// Quarantines requests that were running on two servers when these crashed. The caller of a request that
/// crashes every server only sees broken connections and sends the request again and again; each time, the
/// other requests on that server fail as well. Every request whose connection broke when a server crashed is
/// marked, and a request that is marked for two servers is quarantined.
class crash_suspects {
public:
    crash_suspects();

    /// The connection of a request broke while this server ran it. `fingerprint` identifies requests with the
    /// same content; 0 (none) is ignored.
    void record_broken_connection(std::uint64_t fingerprint, server_key server, time_point now);
    /// The server refuses connections, or another server answers at its address. This marks all requests
    /// whose connections to it broke recently.
    void record_crash(server_key server, time_point now);
    /// The server with the key `previous_start` has restarted. Connections to it that break after this call
    /// mark their requests as well, because unresponsive connections are closed only when the restart is
    /// detected.
    void record_restart(server_key previous_start, time_point now);

    /// Remaining time of the request's quarantine; nothing when it isn't quarantined.
    [[nodiscard]] std::optional<duration> quarantine_left(std::uint64_t fingerprint, time_point now) const;

private:
    /// A connection that broke while a server ran a request.
    struct broken_connection {
        std::uint64_t fingerprint = 0;
        server_key server = 0;
        time_point at;
    };

    /// A server that has restarted, by the key of its previous start.
    struct restart {
        server_key server = 0;
        time_point at;
    };

    void forget_old(time_point now);
    void mark(std::uint64_t fingerprint, server_key server, time_point now);
    [[nodiscard]] bool has_restarted(server_key server) const;

    quarantine m_quarantine;
    std::deque<broken_connection> m_broken_connections; ///< oldest first
    std::deque<restart> m_restarts;                     ///< oldest first
};

} // namespace borageford::policy
