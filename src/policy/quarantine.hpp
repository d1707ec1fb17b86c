// Quarantines requests that were running when backend servers crashed: after crashes of two servers, the
// request is refused for a while.
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

/// When a request is quarantined, and for how long.
struct quarantine_settings {
    /// Number of crashes after which a request is quarantined.
    std::size_t crashes_before_quarantine = 2;
    duration quarantine_time = std::chrono::hours(1);
    /// The same after each further crash; zero: no longer than after the first ones.
    duration further_quarantine_time{};
    /// Lifetime of a mark. A server that crashed for another reason also marks requests that didn't cause the
    /// crash.
    duration mark_lifetime = std::chrono::hours(24);
    /// Maximum number of fingerprints with marks.
    std::size_t most_fingerprints = 10000;
};

/// A quarantined request, as shown to operators.
struct quarantined_request {
    /// Identifies requests with the same content.
    std::uint64_t fingerprint = 0;
    std::vector<std::string> backend_servers; ///< servers that crashed while the request ran
    time_point until{};
};

/// Crash marks by request fingerprint.
///
/// Invariants: each mark counts once, however often and by whichever process it is reported; the number of
/// fingerprints is bounded, and the one whose last mark is oldest is removed first.
class quarantine {
public:
    explicit quarantine(quarantine_settings settings = {});

    /// Records that the request was running when the backend server crashed. `mark` identifies this crash for
    /// this request; several peers and the table report the same mark. Returns whether the mark is new.
    bool record_mark(std::uint64_t fingerprint, std::string_view backend_server, const identifier& mark,
                     time_point now);

    /// Number of valid marks. With one or more marks, the request should run only where a crash does the
    /// least harm.
    [[nodiscard]] std::size_t marks(std::uint64_t fingerprint, time_point now) const;

    /// Remaining time of the request's quarantine; nothing when it isn't quarantined.
    [[nodiscard]] std::optional<duration> time_left(std::uint64_t fingerprint, time_point now) const;

    /// All requests that are quarantined at this time.
    [[nodiscard]] std::vector<quarantined_request> list(time_point now) const;

    /// Releases the request from quarantine, on behalf of an operator. Its known marks are kept as released,
    /// so that a late copy of one of them doesn't quarantine the request again. False when the fingerprint
    /// has no marks.
    bool release(std::uint64_t fingerprint);

private:
    struct crash {
        identifier mark;
        std::string backend_server;
        time_point at{};
        bool is_released = false;
    };

    [[nodiscard]] bool counts(const crash& known, time_point when) const;
    [[nodiscard]] std::optional<time_point> quarantined_until(const std::vector<crash>& crashes,
                                                              time_point now) const;
    void remove_oldest();

    quarantine_settings m_settings;
    /// Marks by fingerprint, oldest first.
    std::unordered_map<std::uint64_t, std::vector<crash>> m_crashes;
};

} // namespace borageford::policy
