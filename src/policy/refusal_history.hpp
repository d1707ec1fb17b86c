// Remembers which requests were refused recently, so that a retried request can be recognised.
#pragma once

#include "policy/time.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>

namespace borageford::policy {

/// A caller whose request was refused sends it again as a new request, possibly through another gateway. The
/// retry can only be recognised by what stays the same: its caller, target and body, which are hashed into
/// the fingerprint. Refusing the same request again and again would waste the time of its caller and of the
/// gateways.
class refusal_history {
public:
    /// Records that a request with this fingerprint was refused. The fingerprint 0 (no fingerprint) is
    /// ignored.
    void record_refused(std::uint64_t fingerprint, time_point now);
    /// How often requests with this fingerprint were refused recently; 0 for the fingerprint 0. Also removes
    /// expired entries.
    [[nodiscard]] unsigned refusals(std::uint64_t fingerprint, time_point now);
    /// Removes the refusals of this fingerprint. To be called when the request was served: a later request
    /// with the same fingerprint is a new request, not a retry.
    void forget(std::uint64_t fingerprint) { m_refusals.erase(fingerprint); }

private:
    struct refusal_count {
        unsigned refusals = 0;
        time_point last;
    };
    struct refusal_entry {
        std::uint64_t fingerprint = 0;
        time_point at;
    };

    void remove_expired(time_point now);

    std::unordered_map<std::uint64_t, refusal_count> m_refusals;
    std::deque<refusal_entry> m_order; ///< every recorded refusal, oldest first
};

} // namespace borageford::policy
