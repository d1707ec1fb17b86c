// The platform's bound on writes a second: a token bucket that holds one second's worth.
#pragma once

#include <algorithm>
#include <chrono>

namespace borageford::test {

/// Invariant: a rate of 0 means no bound.
class write_budget {
public:
    explicit write_budget(double writes_per_second) : m_rate(writes_per_second), m_left(writes_per_second) {}

    /// Takes one write; false when the rate is used up.
    bool take() {
        if (m_rate <= 0) {
            return true;
        }
        const auto now = std::chrono::steady_clock::now();
        m_left = std::min(m_rate, m_left + m_rate * std::chrono::duration<double>(now - m_filled).count());
        m_filled = now;
        if (m_left < 1) {
            return false;
        }
        m_left -= 1;
        return true;
    }

private:
    double m_rate;
    double m_left;
    std::chrono::steady_clock::time_point m_filled = std::chrono::steady_clock::now();
};

} // namespace borageford::test
