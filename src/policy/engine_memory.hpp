// The memory of one model engine: how many tokens its requests take, and how many more fit.
#pragma once

#include "policy/slot_request.hpp"
#include "policy/time.hpp"

#include <optional>

namespace borageford::policy {

/// Counts the tokens of the requests that an engine holds, and keeps room for one request that is too large
/// for what is free.
///
/// Invariant: reserved() is the sum of the tokens that were reserved and not released.
class engine_memory {
public:
    /// Sets how many tokens this process may reserve; 0: any number.
    void set_limit(double tokens) noexcept { m_limit = tokens; }
    [[nodiscard]] bool is_limited() const noexcept { return m_limit > 0; }
    /// Whether a request that takes these tokens fits if the engine holds nothing else.
    [[nodiscard]] bool can_hold(double tokens) const noexcept { return !is_limited() || tokens <= m_limit; }
    /// Whether a request that takes these tokens fits beside those that the engine holds, and beside the room
    /// that is kept for another one.
    [[nodiscard]] bool fits(double tokens, slot_ticket ticket) const noexcept;

    void reserve(double tokens) noexcept { m_reserved += tokens; }
    void release(double tokens) noexcept;
    [[nodiscard]] double reserved() const noexcept { return m_reserved; }
    /// Tokens that can still be reserved; 0 without a limit.
    [[nodiscard]] double free() const noexcept;

    /// Lets no other request take these tokens.
    void keep_room(slot_ticket ticket, double tokens) noexcept { m_kept = {ticket, tokens}; }
    void stop_keeping_room() noexcept { m_kept = {}; }

    /// Records that a request broke off or was turned away, before its tokens are released. Returns the
    /// tokens that the engine held if they may have been too many: it had no other request, or this is not
    /// the first loss within a short time and no request was served in between. A single loss says nothing
    /// about an engine that has other requests.
    [[nodiscard]] std::optional<double> record_loss(unsigned outstanding, time_point now);
    /// Records that a request was served.
    void record_served() noexcept { m_first_loss.reset(); }

private:
    struct kept_room {
        slot_ticket ticket = 0;
        double tokens = 0;
    };
    struct loss {
        time_point at;
        double held = 0;
    };

    double m_limit = 0;
    double m_reserved = 0;
    kept_room m_kept;
    std::optional<loss> m_first_loss; ///< since a request was last served
};

} // namespace borageford::policy
