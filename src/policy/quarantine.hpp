// Requests that were running when backend servers died: after the second server lost, such a request is
// refused for a while.
#pragma once

#include "base/identifier.hpp"
#include "policy/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace borageford::policy {

struct quarantine_settings {
    /// Backend servers lost before a request is quarantined.
    std::size_t servers_lost = 2;
    duration quarantine_time = std::chrono::hours(1);
    /// A mark is forgotten after this time: a server that died of something else marks the innocent too.
    duration mark_lifetime = std::chrono::hours(24);
    std::size_t most_fingerprints = 10000;
};

/// One quarantined request, as operators see it.
struct quarantined_request {
    std::uint64_t fingerprint = 0;
    std::vector<std::string> backend_servers; ///< lost while it ran
    time_point until{};
};

/// Invariants: each mark counts once, however often and from wherever it is reported; fingerprints are
/// bounded, the one marked longest ago leaves first.
class quarantine {
public:
    explicit quarantine(quarantine_settings settings = {});

    /// The request was running when the backend server died. `mark` names that death for that request:
    /// the same one arrives from several peers and from the table. Returns whether it was new.
    bool record_mark(std::uint64_t fingerprint, std::string_view backend_server, const identifier& mark,
                     time_point now);

    /// Deaths that are known; one or more means: run it only where it can hurt least.
    [[nodiscard]] std::size_t marks(std::uint64_t fingerprint, time_point now) const;

    /// The time left when the request is quarantined; nothing otherwise.
    [[nodiscard]] std::optional<duration> time_left(std::uint64_t fingerprint, time_point now) const;

    [[nodiscard]] std::vector<quarantined_request> list(time_point now) const;

    /// An operator lets it run again. Marks known so far stay known, so that a late copy of one doesn't
    /// quarantine it again; false when the fingerprint has none.
    bool release(std::uint64_t fingerprint);

private:
    struct death {
        identifier mark;
        std::string backend_server;
        time_point at{};
        bool is_released = false;
    };

    [[nodiscard]] bool counts(const death& known, time_point now) const;
    [[nodiscard]] std::optional<time_point> quarantined_until(const std::vector<death>& deaths,
                                                              time_point now) const;
    void remove_oldest();

    quarantine_settings m_settings;
    std::unordered_map<std::uint64_t, std::vector<death>> m_deaths; ///< by fingerprint, oldest first
};

} // namespace borageford::policy
