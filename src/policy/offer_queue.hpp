// The offers that wait at one sidecar for room at its backend server: strict by tier, fair by workspace
// inside a tier, bounded.
#pragma once

#include "base/identifier.hpp"
#include "policy/rate_meter.hpp"
#include "policy/time.hpp"

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace borageford::policy {

/// What the queue needs to know of an offer.
struct queued_offer {
    dispatch_id dispatch;
    std::string workspace;
    unsigned tier = 0; ///< rank; 0 is the highest
    /// Estimated cost: prompt tokens that have to be prefilled plus expected output tokens.
    std::uint64_t tokens = 1;
    std::uint32_t prompt_tokens = 0;
    time_point queued_at{};
    /// The latest moment at which a start can still meet the caller's deadline: the deadline less the
    /// expected time to serve the request. Nothing when the caller set no deadline.
    std::optional<time_point> latest_start;
    /// Until then a start can still meet its tier's first-token target. Of one workspace and tier, offers
    /// that can go before offers that can't any more: served in the order of arrival, a queue that is once
    /// longer than the target would make every later request miss it too.
    std::optional<time_point> target_start;
};

/// What became of an offer that was put to the queue.
struct queue_verdict {
    bool is_queued = false;
    /// Offers that had to leave for it; each must be answered `not_begun` with kind `overloaded`.
    std::vector<queued_offer> displaced;
};

/// Bounds of the queue, and how long its drain rate is remembered.
struct queue_limits {
    std::size_t requests = 256;
    std::uint64_t tokens = 1U << 20U;
    duration drain_memory = std::chrono::seconds(10);
};

/// Invariants: never above its limits; while an offer of some tier waits, none of a lower tier is taken;
/// an offer is displaced only for one of a higher tier, or for one of its own tier whose workspace has
/// less waiting.
class offer_queue {
public:
    explicit offer_queue(queue_limits limits);

    /// Queues the offer, pushing out others where the limits and the invariant allow it.
    [[nodiscard]] queue_verdict put(queued_offer offer, time_point now);

    /// The offer whose turn it is; null when none waits. Valid until the queue changes.
    [[nodiscard]] const queued_offer* next(time_point now) const;

    /// Takes that offer out and charges its workspace for it.
    std::optional<queued_offer> take_next(time_point now);

    /// Takes back the charge for an offer that was taken but never started (its entry chose another
    /// backend server), so that its workspace doesn't lose its turn.
    void refund(const queued_offer& offer);

    /// Removes a withdrawn offer; false when it doesn't wait here.
    bool remove(const dispatch_id& dispatch, time_point now);

    /// Takes out every offer that can't meet its deadline any more: refuse each at once with
    /// `deadline_unreachable`.
    [[nodiscard]] std::vector<queued_offer> take_unreachable(time_point now);

    /// Takes out everything, for a sidecar that leaves.
    [[nodiscard]] std::vector<queued_offer> take_all();

    /// How long a new offer of this tier would wait, by what waits before it and the measured drain rate
    /// (takes and withdrawals alike, since both make way). Zero for an empty queue; nothing while no rate
    /// has been measured.
    [[nodiscard]] std::optional<duration> expected_wait(unsigned tier) const;

    [[nodiscard]] std::size_t requests() const noexcept { return m_places.size(); }
    [[nodiscard]] std::uint64_t tokens() const noexcept { return m_tokens; }
    /// Tokens a second that leave the queue while it isn't empty; 0 until measured.
    [[nodiscard]] double drain_rate() const noexcept { return m_drain.rate(); }

private:
    /// One workspace's offers of one tier, in order of arrival.
    struct workspace_line {
        std::list<queued_offer> offers;
        std::uint64_t tokens = 0;
        /// Virtual time at which its next offer is due: the tokens it was served, never behind the tier's.
        double due = 0;
    };

    /// Start-time fair queueing: the line that is due first is served first. Lines without offers are
    /// kept only while they are due later than the tier's time, so that leaving and coming back gains
    /// nothing.
    struct tier_lines {
        std::map<std::string, workspace_line, std::less<>> lines;
        double virtual_time = 0;
        std::uint64_t tokens = 0;
        std::size_t requests = 0;
    };

    struct place {
        unsigned tier = 0;
        std::string workspace;
        std::list<queued_offer>::iterator offer;
    };

    using tier_map = std::map<unsigned, tier_lines>;
    using line_map = std::map<std::string, workspace_line, std::less<>>;

    [[nodiscard]] static line_map::const_iterator due_line(const tier_lines& lines);
    [[nodiscard]] static const queued_offer& choose(const workspace_line& line, time_point now);
    [[nodiscard]] std::uint64_t waiting_tokens(unsigned tier, std::string_view workspace) const;
    [[nodiscard]] std::vector<dispatch_id> choose_displaced(const queued_offer& offer) const;
    [[nodiscard]] bool has_room_for(std::uint64_t tokens, std::size_t freed_requests,
                                    std::uint64_t freed_tokens) const;
    queued_offer extract(const dispatch_id& dispatch);

    queue_limits m_limits;
    tier_map m_tiers;
    std::unordered_map<dispatch_id, place> m_places; ///< every waiting offer, exactly once
    std::uint64_t m_tokens = 0;                      ///< sum over m_places
    rate_meter m_drain;
};

} // namespace borageford::policy
