// The parts of the retry reserves that other processes have used.
#pragma once

#include "policy/retry_use.hpp"

#include <cstdint>
#include <map>
#include <utility>
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

    duration m_lifetime;
    /// By process and service.
    std::map<std::pair<std::uint64_t, service_key>, retry_use> m_uses;
};

} // namespace borageford::policy
