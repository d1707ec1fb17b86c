// Who asks the store for what has changed, and who hears it from other gateways.
#pragma once

#include "policy/time.hpp"

#include <chrono>

namespace borageford::policy {

/// What a gateway does about a table of the store.
enum class follower_duty {
    follow,   ///< others rely on this gateway: it asks, and asks again soon
    rely,     ///< a gateway is heard that the store answers: what changes is told by it
    stand_by, ///< none is heard: it asks for itself, but not so often that hundreds press a store in trouble
};

/// A few gateways follow the store, and all others hear from them which versions there are. If each asked for
/// itself, every change of a server would cost a call for each gateway, and an outage some calls a second for
/// each of them. The few are those that all others send heartbeats to, so nothing has to be agreed.
class follower_choice {
public:
    /// A gateway that follows was heard, and the store answers it.
    void hear_follower(time_point now) noexcept { m_heard = now; }

    /// `is_candidate`: all others send this gateway heartbeats.
    [[nodiscard]] follower_duty choose(bool is_candidate, time_point now) const noexcept {
        if (is_candidate) {
            return follower_duty::follow;
        }
        const bool hears_one = m_heard != time_point::min() && now - m_heard <= patience;
        return hears_one ? follower_duty::rely : follower_duty::stand_by;
    }

private:
    /// Candidates are heard some times in it, also when one of them is lost.
    static constexpr std::chrono::milliseconds patience{1000};

    time_point m_heard = time_point::min();
};

} // namespace borageford::policy
