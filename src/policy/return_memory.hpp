// Remembers which requests were refused lately, to know their callers when they come back.
#pragma once

#include "policy/time.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>

namespace borageford::policy {

/// A caller that was told to come back sends a new request, at any gateway; only its caller, target and body
/// are the same. Refusing it again and again would waste its time and everybody's.
class return_memory {
public:
    void note_refused(std::uint64_t fingerprint, time_point now);
    /// How often a request of this fingerprint was refused lately; 0 for the fingerprint 0.
    [[nodiscard]] unsigned refusals(std::uint64_t fingerprint, time_point now);
    /// It was served: what comes later is another request.
    void forget(std::uint64_t fingerprint) { m_refusals.erase(fingerprint); }

private:
    struct memory {
        unsigned refusals = 0;
        time_point last;
    };
    struct noted {
        std::uint64_t fingerprint = 0;
        time_point at;
    };

    void forget_old(time_point now);

    std::unordered_map<std::uint64_t, memory> m_refusals;
    std::deque<noted> m_order; ///< oldest first
};

} // namespace borageford::policy
