// Who asks the store for what has changed, and who hears it from other gateways.
#pragma once

#include "policy/time.hpp"

#include <chrono>
#include <cstddef>

namespace borageford::policy {

/// What a gateway does about a table of the store.
enum class follower_duty {
    confirm,  ///< all others hear from this gateway: it has the store confirm often what is known
    follow,   ///< others rely on this gateway: it asks, and asks again soon
    rely,     ///< a gateway is heard that the store answers: what changes is told by others
    stand_by, ///< none is heard: it asks for itself, but not so often that hundreds press a store in trouble
};

/// Whether other gateways go by what this one is told.
[[nodiscard]] constexpr bool is_relied_on(follower_duty duty) noexcept {
    return duty == follower_duty::confirm || duty == follower_duty::follow;
}

/// Some gateways follow the store, and all others hear from them which versions there are. If each asked for
/// itself, every change of a server would cost a call for each gateway, and an outage some calls a second for
/// each of them.
///
/// The candidates to coordinate follow, since all others send them heartbeats. That is not enough: the store
/// may say nothing more to just these few, whose questions stay open as if nothing changed, and nobody would
/// hear that a key was taken away. So a number of others follow as well, drawn by each for itself; the
/// coordinator hears from every member, and what one of them knows all know soon.
class follower_choice {
public:
    /// `others`: how many besides the candidates follow, on average; `draw`: this gateway's own, in [0, 1).
    follower_choice(double others, double draw) noexcept : m_others(others), m_draw(draw) {}

    /// A gateway that follows was heard, and the store answers it.
    void hear_follower(time_point now) noexcept { m_heard = now; }

    /// `is_candidate`: all others send this gateway heartbeats; `members`: that the coordinator counts; 0: it
    /// is not known.
    [[nodiscard]] follower_duty choose(bool is_candidate, std::size_t members,
                                       time_point now) const noexcept {
        if (is_candidate || m_draw * static_cast<double>(members) < m_others) {
            return follower_duty::follow;
        }
        const bool hears_one = m_heard != time_point::min() && now - m_heard <= patience;
        return hears_one ? follower_duty::rely : follower_duty::stand_by;
    }

private:
    /// Candidates are heard some times in it, also when one of them is lost.
    static constexpr std::chrono::milliseconds patience{1000};

    double m_others;
    double m_draw;
    time_point m_heard = time_point::min();
};

} // namespace borageford::policy
