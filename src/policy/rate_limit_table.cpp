// Orders the notices of one server by the times between which their answers were written.
#include "policy/rate_limit_table.hpp"

#include <algorithm>
#include <chrono>
#include <limits>
#include <ranges>

namespace borageford::policy {

namespace {

/// A changed limit is sent with every heartbeat for this long, so that lost datagrams and a broken path
/// between two gateways don't delay it.
constexpr std::chrono::milliseconds changed_recently{1000};
/// Bounds of the notices in one heartbeat, which has to stay below the size of an Ethernet frame.
constexpr std::size_t max_changed = 16;
constexpr std::size_t max_in_turn = 4;
/// How long it is remembered that a limit has ended. By then every gateway has heard of the end.
constexpr std::chrono::seconds ended_life{30};
/// How long the limit of a server that isn't in use is remembered, since a gateway may read of a server in
/// the store later than it hears of the limit.
constexpr std::chrono::seconds unused_life{60};
/// Bounds the memory; more than the servers of the largest deployment.
constexpr std::size_t max_notices = 4096;

double strictness(const rate_limit_notice& notice) {
    return notice.limit.value_or(std::numeric_limits<double>::infinity());
}

/// Whether `found` is to replace `known`.
bool should_replace(const rate_limit_notice& known, const rate_limit_notice& found) {
    if (found.id == known.id) {
        return false;
    }
    if (found.asked >= known.heard) {
        return true;
    }
    if (known.asked >= found.heard) {
        return false;
    }
    if (found.limit != known.limit) {
        return strictness(found) < strictness(known);
    }
    return found.heard > known.heard;
}

} // namespace

std::optional<rate_limit_table::change> rate_limit_table::observe(const rate_limit_notice& notice,
                                                                  time_point now) {
    if (!notice.limit.has_value() && !m_notices.contains(notice.server)) {
        return std::nullopt;
    }
    return merge(notice, now);
}

std::optional<rate_limit_table::change> rate_limit_table::merge(const rate_limit_notice& notice,
                                                                time_point now) {
    const auto found = m_notices.find(notice.server);
    if (found == m_notices.end()) {
        make_room();
        m_notices[notice.server] = notice;
        record_change(notice.server, now);
        return notice.limit.has_value() ? std::optional<change>({notice, std::nullopt}) : std::nullopt;
    }
    if (!should_replace(found->second, notice)) {
        return std::nullopt;
    }
    const auto former = found->second.limit;
    found->second = notice;
    if (former == notice.limit) {
        return std::nullopt;
    }
    record_change(notice.server, now);
    return change{notice, former};
}

void rate_limit_table::record_change(server_key server, time_point now) {
    std::erase_if(m_changes, [&](const auto& each) {
        return each.server == server || now - each.at > changed_recently;
    });
    m_changes.push_back({now, server});
}

std::optional<double> rate_limit_table::limit_of(server_key server) const {
    const auto found = m_notices.find(server);
    return found == m_notices.end() ? std::nullopt : found->second.limit;
}

std::vector<rate_limit_notice> rate_limit_table::latest(std::size_t max_count) const {
    std::vector<rate_limit_notice> result;
    result.reserve(m_notices.size());
    for (const auto& [server, notice] : m_notices) {
        result.push_back(notice);
    }
    const auto kept = std::min(max_count, result.size());
    std::ranges::partial_sort(result, result.begin() + static_cast<std::ptrdiff_t>(kept), std::greater{},
                              &rate_limit_notice::heard);
    result.resize(kept);
    return result;
}

std::vector<rate_limit_notice> rate_limit_table::take_next(time_point now) {
    std::vector<rate_limit_notice> result;
    for (const auto& changed : m_changes | std::views::reverse | std::views::take(max_changed)) {
        const auto found = m_notices.find(changed.server);
        if (now - changed.at <= changed_recently && found != m_notices.end()) {
            result.push_back(found->second);
        }
    }
    const auto turn = std::min(max_in_turn, m_notices.size());
    auto next = m_notices.upper_bound(m_last_sent);
    for (std::size_t sent = 0; sent < turn; ++sent) {
        next = next == m_notices.end() ? m_notices.begin() : next;
        m_last_sent = next->first;
        if (std::ranges::find(result, next->first, &rate_limit_notice::server) == result.end()) {
            result.push_back(next->second);
        }
        ++next;
    }
    return result;
}

void rate_limit_table::add_age(duration missed) {
    for (auto& [server, notice] : m_notices) {
        notice.asked -= missed;
        notice.heard -= missed;
    }
}

void rate_limit_table::expire(time_point now, const std::function<bool(server_key)>& is_in_use) {
    std::erase_if(m_notices, [&](const auto& known) {
        const auto age = now - known.second.heard;
        if (!known.second.limit.has_value()) {
            return age > ended_life;
        }
        return age > unused_life && !is_in_use(known.first);
    });
}

/// Removes the oldest notice if there is no room for another one.
void rate_limit_table::make_room() {
    if (m_notices.size() >= max_notices) {
        m_notices.erase(
            std::ranges::min_element(m_notices, {}, [](const auto& known) { return known.second.heard; }));
    }
}

} // namespace borageford::policy
