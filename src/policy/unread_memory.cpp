// Implements unread_memory and unread_account.
#include "policy/unread_memory.hpp"

#include <algorithm>
#include <functional>
#include <limits>
#include <utility>

namespace borageford::policy {

namespace {

/// The part of the bound that answers may use, in percent. The rest is for requests that are arriving: slow
/// readers would otherwise leave no room for them.
constexpr std::size_t percent_for_answers = 75;
/// The free bytes are divided by this for the share of one caller.
constexpr std::size_t share_divisor = 4;
/// Reading resumes when the unread bytes are at most the limit divided by this.
constexpr std::size_t resume_divisor = 2;
/// Connections are ended until this part of the bound is held, so that this isn't done for each byte.
constexpr std::size_t percent_after_relief = 90;

constexpr std::size_t percent_of(std::size_t whole, std::size_t percent) noexcept {
    return whole / 100 * percent;
}

} // namespace

std::size_t unread_memory::share() const noexcept {
    if (!is_bounded()) {
        return default_share;
    }
    const auto for_answers = percent_of(m_limits.total, percent_for_answers);
    const auto free = for_answers - std::min(m_held, for_answers);
    return std::max(smallest_share, free / share_divisor);
}

std::size_t unread_memory::arriving_limit() const noexcept {
    constexpr auto none = std::numeric_limits<std::size_t>::max();
    const auto total = is_bounded() ? m_limits.total : none;
    return std::min(total, m_limits.arriving > 0 ? m_limits.arriving : none);
}

/// Whether more than this part of a bound is held, of which incomplete requests have more than what is kept
/// for them.
bool unread_memory::holds_too_much_arriving(std::size_t percent) const noexcept {
    const bool is_full = is_bounded() && m_held > percent_of(m_limits.total, percent);
    const auto kept = percent_of(m_limits.total, 100 - percent_for_answers);
    return (is_full && m_arriving > kept) || m_arriving > percent_of(arriving_limit(), percent);
}

bool unread_memory::has_room_for_requests(std::size_t besides) const noexcept {
    return (!is_bounded() || m_held + besides < m_limits.total) && m_arriving < arriving_limit();
}

std::size_t unread_memory::count_slow(time_point now) const {
    return static_cast<std::size_t>(
        std::ranges::count_if(m_accounts, [now](const auto* account) { return account->is_slow(now); }));
}

void unread_memory::relieve(time_point now) {
    relieve_arriving(now);
    if (!is_bounded() || m_held <= m_limits.total) {
        return;
    }
    while (m_held > percent_of(m_limits.total, percent_after_relief)) {
        auto* const account = choose_cut(now);
        if (account == nullptr) {
            return;
        }
        cut(*account, now);
    }
}

void unread_memory::relieve_arriving(time_point now) {
    if (!holds_too_much_arriving(100)) {
        return;
    }
    for (const auto& next : find_arriving(now)) {
        if (!holds_too_much_arriving(percent_after_relief)) {
            return;
        }
        if (m_accounts.contains(next.account)) { // ending one connection may have ended others
            cut(*next.account, now);
        }
    }
}

/// The connections with a request that isn't complete, in the order in which they are ended: those with the
/// largest product of bytes and time first. An ordinary request is complete soon, so its product stays small,
/// and a caller that came early doesn't keep its place.
std::vector<unread_memory::candidate> unread_memory::find_arriving(time_point now) const {
    using seconds = std::chrono::duration<double>;
    std::vector<candidate> found;
    for (auto* const account : m_accounts) {
        const auto held = account->m_held.arriving;
        if (held > 0) {
            const auto age = seconds(now - account->m_arriving_since).count();
            found.push_back({account, static_cast<double>(held) * age});
        }
    }
    std::ranges::sort(found, std::ranges::greater(), &candidate::weight);
    return found;
}

void unread_memory::cut(unread_account& account, time_point now) {
    const auto end = account.m_cut; // copied, since the account may be destroyed by the call
    end();
    if (m_accounts.contains(&account)) {
        account.update({}, account.m_taken, now);
    }
}

unread_account* unread_memory::choose_cut(time_point now) const {
    using seconds = std::chrono::duration<double>;
    unread_account* chosen = nullptr;
    double worst = 0;
    for (auto* const account : m_accounts) {
        if (!account->is_slow(now)) {
            continue;
        }
        const auto held = static_cast<double>(account->m_held.sum());
        const auto weight = held * seconds(account->drain_time(now)).count();
        if (weight > worst) {
            worst = weight;
            chosen = account;
        }
    }
    return chosen;
}

unread_account::unread_account(unread_memory& memory, std::function<void()> cut)
    : m_memory(memory), m_cut(std::move(cut)) {
    m_memory.m_accounts.insert(this);
}

unread_account::~unread_account() {
    m_memory.m_accounts.erase(this);
    m_memory.m_held -= m_held.sum();
    m_memory.m_arriving -= m_held.arriving;
}

void unread_account::update(held_bytes held, std::uint64_t taken, time_point now) {
    if (m_held.unread == 0 && held.unread > 0) {
        m_since = now;
        m_last_taken = now;
        m_taken_before = taken;
    } else if (taken > m_taken) {
        m_last_taken = now;
    }
    m_taken = taken;
    if (m_held.arriving == 0) {
        m_arriving_since = now;
    }
    m_memory.m_held += held.sum() - m_held.sum();
    m_memory.m_arriving += held.arriving - m_held.arriving;
    m_held = held;
}

bool unread_account::has_room() const noexcept {
    return m_held.unread <= m_memory.share();
}

bool unread_account::has_room_to_collect() const noexcept {
    return m_held.sum() <= m_memory.share();
}

bool unread_account::may_resume() const noexcept {
    const bool is_small = m_memory.is_bounded() && m_held.unread <= m_memory.share() / resume_divisor;
    return m_held.unread == 0 || is_small;
}

unread_account::duration unread_account::unread_for(time_point now) const noexcept {
    return m_held.unread == 0 ? duration::zero() : now - m_last_taken;
}

unread_account::duration unread_account::drain_time(time_point now) const noexcept {
    if (m_held.unread == 0) {
        return duration::zero();
    }
    const auto taken = std::max<std::uint64_t>(1, m_taken - m_taken_before);
    const auto elapsed = std::chrono::duration<double>(now - m_since);
    const auto at_this_rate = elapsed * static_cast<double>(m_held.unread) / static_cast<double>(taken);
    constexpr std::chrono::duration<double> longest(24 * 3600);
    return std::max(unread_for(now), std::chrono::duration_cast<duration>(std::min(at_this_rate, longest)));
}

bool unread_account::is_slow(time_point now) const noexcept {
    return m_held.unread > 0 && now - m_since >= unread_memory::slow_after &&
           drain_time(now) >= unread_memory::slow_after;
}

} // namespace borageford::policy
