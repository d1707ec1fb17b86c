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
    if (m_places.contains(offer.dispatch)) {
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
    m_drain.record(0, !m_places.empty(), now);
    auto& lines = m_tiers[offer.tier];
    auto& line = lines.lines[offer.workspace];
    if (line.offers.empty()) {
        line.due = std::max(line.due, lines.virtual_time);
    }
    line.tokens += offer.tokens;
    lines.tokens += offer.tokens;
    ++lines.requests;
    m_tokens += offer.tokens;
    offer.queued_at = now;
    const auto added = line.offers.insert(line.offers.end(), std::move(offer));
    m_places.emplace(added->dispatch, place{added->tier, added->workspace, added});
    verdict.is_queued = true;
    return verdict;
}

const queued_offer* offer_queue::next(time_point now) const {
    for (const auto& [rank, lines] : m_tiers) {
        if (lines.requests > 0) {
            return &choose(due_line(lines)->second, now);
        }
    }
    return nullptr;
}

std::optional<queued_offer> offer_queue::take_next(time_point now) {
    const auto* due = next(now);
    if (due == nullptr) {
        return std::nullopt;
    }
    auto& lines = m_tiers.at(due->tier);
    auto& line = lines.lines.find(due->workspace)->second;
    lines.virtual_time = line.due;
    line.due += static_cast<double>(due->tokens);
    m_drain.record(static_cast<double>(due->tokens), true, now);
    auto taken = extract(due->dispatch);
    std::erase_if(lines.lines, [&lines](const auto& entry) {
        return entry.second.offers.empty() && entry.second.due <= lines.virtual_time;
    });
    return taken;
}

void offer_queue::refund(const queued_offer& offer) {
    const auto tier = m_tiers.find(offer.tier);
    if (tier == m_tiers.end()) {
        return;
    }
    const auto line = tier->second.lines.find(offer.workspace);
    if (line == tier->second.lines.end()) {
        return;
    }
    const double without = line->second.due - static_cast<double>(offer.tokens);
    line->second.due = std::max(without, tier->second.virtual_time);
}

bool offer_queue::remove(const dispatch_id& dispatch, time_point now) {
    const auto found = m_places.find(dispatch);
    if (found == m_places.end()) {
        return false;
    }
    m_drain.record(static_cast<double>(found->second.offer->tokens), true, now);
    extract(dispatch);
    return true;
}

std::vector<queued_offer> offer_queue::take_unreachable(time_point now) {
    std::vector<dispatch_id> late;
    for (const auto& [dispatch, where] : m_places) {
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
    taken.reserve(m_places.size());
    while (!m_places.empty()) {
        const dispatch_id first = m_places.begin()->first;
        taken.push_back(extract(first));
    }
    return taken;
}

std::optional<duration> offer_queue::expected_wait(unsigned tier) const {
    std::uint64_t before = 0;
    for (const auto& [rank, lines] : m_tiers) {
        if (rank <= tier) {
            before += lines.tokens;
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

offer_queue::line_map::const_iterator offer_queue::due_line(const tier_lines& lines) {
    auto chosen = lines.lines.end();
    for (auto line = lines.lines.begin(); line != lines.lines.end(); ++line) {
        if (line->second.offers.empty()) {
            continue;
        }
        if (chosen == lines.lines.end() || line->second.due < chosen->second.due) {
            chosen = line;
        }
    }
    return chosen;
}

const queued_offer& offer_queue::choose(const workspace_line& line, time_point now) {
    const auto in_time = std::ranges::find_if(line.offers, [now](const queued_offer& offer) {
        return !offer.target_start || *offer.target_start >= now;
    });
    return in_time == line.offers.end() ? line.offers.front() : *in_time;
}

std::uint64_t offer_queue::waiting_tokens(unsigned tier, std::string_view workspace) const {
    const auto lines = m_tiers.find(tier);
    if (lines == m_tiers.end()) {
        return 0;
    }
    const auto line = lines->second.lines.find(workspace);
    return line == lines->second.lines.end() ? 0 : line->second.tokens;
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
        for (const auto& [workspace, line] : tier->second.lines) {
            candidates.push_back({line.tokens, line.offers.rbegin(), line.offers.rend()});
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
    return m_places.size() - freed_requests < m_limits.requests &&
           m_tokens - freed_tokens + tokens <= m_limits.tokens;
}

queued_offer offer_queue::extract(const dispatch_id& dispatch) {
    const auto found = m_places.find(dispatch);
    auto& lines = m_tiers.at(found->second.tier);
    auto& line = lines.lines.find(found->second.workspace)->second;
    queued_offer taken = std::move(*found->second.offer);
    line.offers.erase(found->second.offer);
    line.tokens -= taken.tokens;
    lines.tokens -= taken.tokens;
    --lines.requests;
    m_tokens -= taken.tokens;
    m_places.erase(found);
    return taken;
}

} // namespace borageford::policy
