// The parts of the retry reserves that other processes have used.
#pragma once

#include "policy/retry_use.hpp"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace borageford::policy {

/// A use counts until its last retry has left the window of the budget: `lifetime` after it was granted.
class retry_use_table {
public:
    explicit retry_use_table(duration lifetime) : m_lifetime(lifetime) {}

    /// Takes over what a process has used, unless something later is known of the same process.
    void merge(const retry_use& use, time_point now);

    /// Retries of a service that all these processes have taken from its reserve.
    [[nodiscard]] double total(service_key service, time_point now) const;
    /// All uses that still count.
    [[nodiscard]] std::vector<retry_use> list(time_point now) const;

private:
    [[nodiscard]] bool counts(const retry_use& use, time_point now) const {
        return now - use.granted <= m_lifetime;
    }

    void expire(time_point now);

    duration m_lifetime;
    std::unordered_map<service_key, std::unordered_map<std::uint64_t, retry_use>> m_uses; ///< by process
    time_point m_expired; ///< when uses that no longer count were last removed
};

} // namespace borageford::policy
