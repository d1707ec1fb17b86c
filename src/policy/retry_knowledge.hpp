// Since when a process has known of all retries that were granted anywhere.
#pragma once

#include "policy/time.hpp"

#include <chrono>

namespace borageford::policy {

/// A process knows of all retries while it has a coordinator, or coordinates most of the others itself: a
/// coordinator tells its members what was granted. A process that has just started, or was cut off from the
/// others, knows it only from one that does.
class retry_knowledge {
public:
    /// `now` is the start of the process.
    explicit retry_knowledge(time_point now) : m_since(now), m_last_connected(now) {}

    /// The system has never run before, so there was nothing to know of.
    void assume_nothing_before(time_point now) { m_since = now - longest_known; }
    /// To be called every 50 ms, with whether the process has a coordinator or coordinates most of the
    /// others.
    void record_connected(bool is_connected, time_point now);
    /// Another process, whose uses are known here now, has known of all uses for this long.
    void learn(duration known_for, time_point now);

    /// For how long this process has known of all uses; zero while it is cut off.
    [[nodiscard]] duration known_for(time_point now) const;
    /// Whether all uses of the last `window` are known, as far as this process can tell while it is cut off.
    [[nodiscard]] bool covers(duration window, time_point now) const { return now - m_since >= window; }

private:
    /// A process that finds a coordinator again within this time has missed nothing that matters: others need
    /// most of it to find one, too.
    static constexpr std::chrono::milliseconds tolerated_gap{1000};
    /// Longer than any window, and short enough to be sent in a message.
    static constexpr std::chrono::hours longest_known{24};

    time_point m_since;
    time_point m_last_connected;
};

} // namespace borageford::policy
