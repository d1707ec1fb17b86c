// Implements start-time fair queueing within strict tiers, and displacement that starts at the lowest tier.
#include "policy/offer_queue.hpp"

#include <algorithm>
#include <utility>

namespace borageford::policy {

offer_queue::offer_queue(queue_limits limits) : m_limits(limits), m_drain(limits.drain_memory) {}

queue_verdict offer_queue::put(queued_offer offer, time_point now) {
    // An offer larger than the bound could never be queued, so it counts as exactly the bound.
    offer.tokens = std::clamp<std::uint64_t>(offer.tokens, 1, m_limits.tokens);
    queue_verdict verdict;
    if (m_positions.contains(offer.dispatch)) {
        return verdict;
    }
    if (!has_room_for(offer.tokens, 0, 0)) {
        const auto chosen = choose_displaced(offer);
        if (chosen.empty()) {
            return verdict;
        }
        for (const auto& dispatch : chosen) {
            verdict.displaced.push_back(extract(dispatch));
        }
    }
    m_drain.record(0, !m_positions.empty(), now);
    auto& queues = m_tiers[offer.tier];
    auto& queue = queues.by_workspace[offer.workspace];
    if (queue.offers.empty()) {
        queue.due_time = std::max(queue.due_time, queues.virtual_time);
    }
    queue.tokens += offer.tokens;
    queues.tokens += offer.tokens;
    ++queues.requests;
    m_tokens += offer.tokens;
    offer.queued_at = now;
    const auto added = queue.offers.insert(queue.offers.end(), std::move(offer));
    m_positions.emplace(added->dispatch, queue_position{added->tier, added->workspace, added});
    verdict.is_queued = true;
    return verdict;
}

const queued_offer* offer_queue::next(time_point now) const {
    for (const auto& [rank, queues] : m_tiers) {
        if (queues.requests > 0) {
            return &choose(next_workspace_queue(queues)->second, now);
        }
    }
    return nullptr;
}

std::optional<queued_offer> offer_queue::take_next(time_point now) {
    const auto* selected = next(now);
    if (selected == nullptr) {
        return std::nullopt;
    }
    auto& queues = m_tiers.at(selected->tier);
    auto& queue = queues.by_workspace.find(selected->workspace)->second;
    queues.virtual_time = queue.due_time;
    queue.due_time += static_cast<double>(selected->tokens);
    m_drain.record(static_cast<double>(selected->tokens), true, now);
    auto taken = extract(selected->dispatch);
    std::erase_if(queues.by_workspace, [&queues](const auto& entry) {
        return entry.second.offers.empty() && entry.second.due_time <= queues.virtual_time;
    });
    return taken;
}

void offer_queue::refund(const queued_offer& offer) {
    const auto tier = m_tiers.find(offer.tier);
    if (tier == m_tiers.end()) {
        return;
    }
    const auto queue = tier->second.by_workspace.find(offer.workspace);
    if (queue == tier->second.by_workspace.end()) {
        return;
    }
    const double without = queue->second.due_time - static_cast<double>(offer.tokens);
    queue->second.due_time = std::max(without, tier->second.virtual_time);
}

bool offer_queue::remove(const dispatch_id& dispatch, time_point now) {
    const auto found = m_positions.find(dispatch);
    if (found == m_positions.end()) {
        return false;
    }
    m_drain.record(static_cast<double>(found->second.offer->tokens), true, now);
    extract(dispatch);
    return true;
}

std::vector<queued_offer> offer_queue::take_unreachable(time_point now) {
    std::vector<dispatch_id> late;
    for (const auto& [dispatch, where] : m_positions) {
        if (where.offer->latest_start && *where.offer->latest_start < now) {
            late.push_back(dispatch);
        }
    }
    std::vector<queued_offer> taken;
    taken.reserve(late.size());
    for (const auto& dispatch : late) {
        taken.push_back(extract(dispatch));
    }
    return taken;
}

std::vector<queued_offer> offer_queue::take_all() {
    std::vector<queued_offer> taken;
    taken.reserve(m_positions.size());
    while (!m_positions.empty()) {
        const dispatch_id first = m_positions.begin()->first;
        taken.push_back(extract(first));
    }
    return taken;
}

std::optional<duration> offer_queue::expected_wait(unsigned tier) const {
    std::uint64_t before = 0;
    for (const auto& [rank, queues] : m_tiers) {
        if (rank <= tier) {
            before += queues.tokens;
        }
    }
    if (before == 0) {
        return duration::zero();
    }
    const double rate = m_drain.rate();
    if (rate <= 0) {
        return std::nullopt;
    }
    return from_seconds(static_cast<double>(before) / rate);
}

offer_queue::workspace_queue_map::const_iterator
offer_queue::next_workspace_queue(const tier_queues& queues) {
    auto chosen = queues.by_workspace.end();
    for (auto queue = queues.by_workspace.begin(); queue != queues.by_workspace.end(); ++queue) {
        if (queue->second.offers.empty()) {
            continue;
        }
        if (chosen == queues.by_workspace.end() || queue->second.due_time < chosen->second.due_time) {
            chosen = queue;
        }
    }
    return chosen;
}

const queued_offer& offer_queue::choose(const workspace_queue& queue, time_point now) {
    const auto in_time = std::ranges::find_if(queue.offers, [now](const queued_offer& offer) {
        return !offer.target_start || *offer.target_start >= now;
    });
    return in_time == queue.offers.end() ? queue.offers.front() : *in_time;
}

std::uint64_t offer_queue::waiting_tokens(unsigned tier, std::string_view workspace) const {
    const auto queues = m_tiers.find(tier);
    if (queues == m_tiers.end()) {
        return 0;
    }
    const auto queue = queues->second.by_workspace.find(workspace);
    return queue == queues->second.by_workspace.end() ? 0 : queue->second.tokens;
}

/// Chooses the newest offers of the workspaces with the most waiting tokens, lowest tier first, until there
/// is room. Returns an empty list when the new offer may not displace enough.
std::vector<dispatch_id> offer_queue::choose_displaced(const queued_offer& offer) const {
    std::vector<dispatch_id> chosen;
    std::uint64_t freed = 0;
    const std::uint64_t own_share = waiting_tokens(offer.tier, offer.workspace) + offer.tokens;
    for (auto tier = m_tiers.rbegin(); tier != m_tiers.rend() && tier->first >= offer.tier; ++tier) {
        struct candidate {
            std::uint64_t left;
            std::list<queued_offer>::const_reverse_iterator newest;
            std::list<queued_offer>::const_reverse_iterator end;
        };
        std::vector<candidate> candidates;
        for (const auto& [workspace, queue] : tier->second.by_workspace) {
            candidates.push_back({queue.tokens, queue.offers.rbegin(), queue.offers.rend()});
        }
        while (!has_room_for(offer.tokens, chosen.size(), freed)) {
            auto heaviest = std::ranges::max_element(candidates, {}, &candidate::left);
            if (heaviest == candidates.end() || heaviest->newest == heaviest->end) {
                break;
            }
            const std::uint64_t tokens = heaviest->newest->tokens;
            if (tier->first == offer.tier && heaviest->left < own_share + tokens) {
                // its workspace would then have fewer waiting tokens than the workspace of the new offer
                break;
            }
            chosen.push_back(heaviest->newest->dispatch);
            freed += tokens;
            heaviest->left -= tokens;
            ++heaviest->newest;
        }
    }
    if (!has_room_for(offer.tokens, chosen.size(), freed)) {
        chosen.clear();
    }
    return chosen;
}

bool offer_queue::has_room_for(std::uint64_t tokens, std::size_t freed_requests,
                               std::uint64_t freed_tokens) const {
    return m_positions.size() - freed_requests < m_limits.requests &&
           m_tokens - freed_tokens + tokens <= m_limits.tokens;
}

queued_offer offer_queue::extract(const dispatch_id& dispatch) {
    const auto found = m_positions.find(dispatch);
    auto& queues = m_tiers.at(found->second.tier);
    auto& queue = queues.by_workspace.find(found->second.workspace)->second;
    queued_offer taken = std::move(*found->second.offer);
    queue.offers.erase(found->second.offer);
    queue.tokens -= taken.tokens;
    queues.tokens -= taken.tokens;
    --queues.requests;
    m_tokens -= taken.tokens;
    m_positions.erase(found);
    return taken;
}

} // namespace borageford::policy
