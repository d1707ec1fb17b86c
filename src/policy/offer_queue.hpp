// Queue of the offers that wait at one sidecar for room at its backend server. It is strictly ordered by
// tier, fair between the workspaces of a tier, and bounded.
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

/// An offer with the values that its place in the queue depends on.
struct queued_offer {
    dispatch_id dispatch;
    std::string workspace;
    unsigned tier = 0; ///< rank; 0 is the highest
    /// Estimated cost in tokens: prompt tokens to prefill plus expected output tokens.
    std::uint64_t tokens = 1;
    std::uint32_t prompt_tokens = 0;
    time_point queued_at{};
    /// Latest start that can still meet the caller's deadline: the deadline minus the expected service time.
    /// Nothing when the caller set no deadline.
    std::optional<time_point> latest_start;
    /// Latest start that can still meet the tier's first-token target. Within one workspace and tier, offers
    /// that can still meet it go before those that can't: in plain arrival order, once the queue is longer
    /// than the target, every later request would miss the target too.
    std::optional<time_point> target_start;
};

/// Result of queueing an offer.
struct queue_verdict {
    bool is_queued = false;
    /// Offers that were removed to make room; each must be answered `not_begun` with the error kind
    /// `overloaded`.
    std::vector<queued_offer> displaced;
};

/// Bounds of the queue, and the time constant of its measured drain rate.
struct queue_limits {
    std::size_t requests = 256;
    std::uint64_t tokens = 1U << 20U;
    duration drain_memory = std::chrono::seconds(10);
};

/// The queue.
///
/// Invariants: the bounds are never exceeded; while an offer of some tier waits, no offer of a lower tier is
/// taken; an offer is displaced only by one of a higher tier, or by one of its own tier whose workspace has
/// fewer tokens waiting.
class offer_queue {
public:
    explicit offer_queue(queue_limits limits);

    /// Queues the offer, displacing other offers where the bounds require it and the invariant allows it. An
    /// offer whose dispatch id is already queued is refused.
    [[nodiscard]] queue_verdict put(queued_offer offer, time_point now);

    /// The offer to take next; null when the queue is empty. The pointer is valid until the queue changes.
    [[nodiscard]] const queued_offer* next(time_point now) const;

    /// Removes the offer that next() returns and charges its workspace for it; nothing when the queue is
    /// empty.
    std::optional<queued_offer> take_next(time_point now);

    /// Refunds the charge for an offer that was taken but never started because its entry process chose
    /// another backend server, so that its workspace doesn't lose its turn.
    void refund(const queued_offer& offer);

    /// Removes a withdrawn offer; false when it isn't queued.
    bool remove(const dispatch_id& dispatch, time_point now);

    /// Removes and returns all offers that can't meet their deadline any more. The caller refuses each at
    /// once with `deadline_unreachable`.
    [[nodiscard]] std::vector<queued_offer> take_unreachable(time_point now);

    /// Removes and returns all offers, when the sidecar shuts down.
    [[nodiscard]] std::vector<queued_offer> take_all();

    /// Expected wait of a new offer of this tier, from the tokens that wait before it and the measured drain
    /// rate. The rate includes taken and withdrawn offers, since both make room. Zero for an empty queue;
    /// nothing until a rate has been measured.
    [[nodiscard]] std::optional<duration> expected_wait(unsigned tier) const;

    [[nodiscard]] std::size_t requests() const noexcept { return m_positions.size(); }
    [[nodiscard]] std::uint64_t tokens() const noexcept { return m_tokens; }
    /// Tokens per second that leave the queue while it isn't empty; 0 until measured.
    [[nodiscard]] double drain_rate() const noexcept { return m_drain.rate(); }

private:
    /// Offers of one workspace and tier, in order of arrival.
    struct workspace_queue {
        std::list<queued_offer> offers;
        std::uint64_t tokens = 0;
        /// Virtual time at which the next offer of this workspace is due: the tokens served to the
        /// workspace, but never less than the tier's virtual time.
        double due_time = 0;
    };

    /// Start-time fair queueing: the workspace with the earliest `due_time` is served first. A workspace
    /// without offers is kept only while its `due_time` is later than the tier's virtual time, so that it
    /// gains nothing by emptying its queue and coming back.
    struct tier_queues {
        std::map<std::string, workspace_queue, std::less<>> by_workspace;
        double virtual_time = 0;
        std::uint64_t tokens = 0;
        std::size_t requests = 0;
    };

    /// Where a queued offer is stored.
    struct queue_position {
        unsigned tier = 0;
        std::string workspace;
        std::list<queued_offer>::iterator offer;
    };

    using tier_map = std::map<unsigned, tier_queues>;
    using workspace_queue_map = std::map<std::string, workspace_queue, std::less<>>;

    /// The workspace to serve next; end() when no offer waits.
    [[nodiscard]] static workspace_queue_map::const_iterator next_workspace_queue(const tier_queues& queues);
    /// The first offer that can still meet its first-token target, or else the first offer.
    [[nodiscard]] static const queued_offer& choose(const workspace_queue& queue, time_point now);
    [[nodiscard]] std::uint64_t waiting_tokens(unsigned tier, std::string_view workspace) const;
    [[nodiscard]] std::vector<dispatch_id> choose_displaced(const queued_offer& offer) const;
    [[nodiscard]] bool has_room_for(std::uint64_t tokens, std::size_t freed_requests,
                                    std::uint64_t freed_tokens) const;
    /// Removes a queued offer and returns it.
    queued_offer extract(const dispatch_id& dispatch);

    queue_limits m_limits;
    tier_map m_tiers;
    /// Where each queued offer is stored, by dispatch id.
    std::unordered_map<dispatch_id, queue_position> m_positions;
    std::uint64_t m_tokens = 0; ///< Sum of the tokens of all queued offers.
    rate_meter m_drain;
};

} // namespace borageford::policy
