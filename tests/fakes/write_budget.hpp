// Limits the fake platform's writes per second with a token bucket that holds the writes of one second.
#pragma once

#include <algorithm>
#include <chrono>

namespace borageford::test {

/// A rate of 0 means no limit.
class write_budget {
public:
    explicit write_budget(double writes_per_second) : m_rate(writes_per_second), m_left(writes_per_second) {}

    /// Takes one write from the bucket; returns false when the bucket is empty.
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
