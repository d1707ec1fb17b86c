// What servers have answered without crashing in the last seconds.
#pragma once

#include "policy/crash_mark.hpp"
#include "policy/time.hpp"

#include <chrono>
#include <cstddef>
#include <deque>
#include <map>

namespace borageford::policy {

/// Something that crashes every server that begins to answer it is never in here. So a suspect that is can't
/// have caused a crash, although it may have been running: popular prompt parts are in nearly every request,
/// and by chance in every crash.
///
/// Invariant: m_latest has exactly the suspects of m_order, whose length is bounded; the oldest go first.
class recent_answers {
public:
    void record(const crash_suspect& suspect, time_point now);
    /// Whether the suspect was answered at most `memory` ago.
    [[nodiscard]] bool contains(const crash_suspect& suspect, time_point now) const;
    [[nodiscard]] std::size_t size() const noexcept { return m_latest.size(); }

private:
    /// Long enough to contain all parts that matter to many callers, and short enough that something that
    /// turns bad, such as a part that a new software version can't bear, isn't protected for long.
    static constexpr std::chrono::milliseconds memory{2000};
    static constexpr std::size_t max_entries = 8192;

    struct entry {
        crash_suspect suspect;
        time_point at;
    };

    std::map<crash_suspect, time_point> m_latest;
    std::deque<entry> m_order; ///< by time; an entry is outdated if m_latest has a later time
};

} // namespace borageford::policy
