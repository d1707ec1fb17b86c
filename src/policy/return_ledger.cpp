// Implements return_ledger with buckets of slot time by service, and one account of slot time by workspace.
#include "policy/return_ledger.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace borageford::policy {

namespace {

using std::chrono::milliseconds;

/// Long against the time between two grants and short against the time that callers can wait.
constexpr milliseconds bucket_width{250};
/// Lower bound of the time until a caller comes back: those that wait in the queue now come first.
constexpr milliseconds min_delay{200};
/// Times are rounded to ms on their way. A caller that comes back this much too soon came as told.
constexpr milliseconds rounding{5};
/// Bounds the memory. The slots of a hundred large servers for five seconds of short requests.
constexpr std::size_t max_promises = 50'000;

constexpr double bucket_seconds = to_seconds(bucket_width);

/// Calls `visit` with the offset of each bucket that a promise takes time from, and with that time.
template <typename Visitor>
void for_each_part(double slot_seconds, double rate, const Visitor& visit) {
    const double most = bucket_seconds * rate;
    for (std::int64_t offset = 0; slot_seconds > 0; ++offset) {
        visit(offset, std::min(slot_seconds, most));
        slot_seconds -= most;
    }
}

} // namespace

return_ledger::bucket_index return_ledger::index_of(time_point when) {
    return when.time_since_epoch() / bucket_width;
}

bool return_ledger::has_room(const return_promise& wanted, const return_terms& terms, double rate) const {
    const auto first = index_of(wanted.due);
    const double most = terms.slots * bucket_seconds;
    bool fits = true;
    for_each_part(to_seconds(terms.slot_time), rate, [&](std::int64_t offset, double seconds) {
        const auto found = m_buckets.find({wanted.service, first + offset});
        double taken = 0;
        if (found != m_buckets.end()) {
            const auto end = found->second.upper_bound(wanted.tier);
            for (auto tier = found->second.begin(); tier != end; ++tier) {
                taken += tier->second;
            }
        }
        fits = fits && taken + seconds <= most;
    });
    return fits;
}

/// A workspace that sends many times its usual may not take the room of the others. A single promise is
/// always within its share.
bool return_ledger::is_within_share(const return_promise& wanted, const return_terms& terms) const {
    const auto found = m_accounts.find({wanted.service, wanted.tier, wanted.workspace});
    const double most = terms.slots * to_seconds(terms.horizon) * terms.workspace_share;
    return found == m_accounts.end() || found->second.slot_seconds + to_seconds(terms.slot_time) <= most;
}

std::optional<time_point> return_ledger::promise(const slot_request& request, const return_terms& terms,
                                                 time_point now) {
    remove_expired(now);
    const auto found = m_promises.find(request.fingerprint);
    if (found != m_promises.end()) {
        return std::max(found->second.promise.due, now);
    }
    return_promise wanted{request.fingerprint, request.service, request.workspace, request.tier, {}};
    if (terms.slots <= 0 || m_promises.size() >= max_promises || !is_within_share(wanted, terms)) {
        return std::nullopt;
    }
    const double rate = std::min(terms.slots, 1.0);
    const auto latest = now + terms.horizon;
    for (time_point begin = now + min_delay; begin <= latest;) {
        const auto end = time_point(bucket_width * (index_of(begin) + 1));
        wanted.due = begin + from_seconds(to_seconds(std::min(end, latest) - begin) * terms.draw);
        if (has_room(wanted, terms, rate)) {
            insert({wanted, to_seconds(terms.slot_time), rate}, now);
            ++m_counts.promised;
            return wanted.due;
        }
        begin = end;
    }
    return std::nullopt;
}

void return_ledger::adopt(const return_promise& told, duration slot_time, time_point now) {
    remove_expired(now);
    const bool is_current = now <= told.due + max_return_lateness && told.due <= now + max_return_delay;
    if (told.fingerprint != 0 && is_current && m_promises.size() < max_promises) {
        insert({told, to_seconds(slot_time), 1}, now);
    }
}

bool return_ledger::redeem(const slot_request& request, time_point now) {
    remove_expired(now);
    const auto found = m_promises.find(request.fingerprint);
    if (found == m_promises.end()) {
        return false;
    }
    if (request.arrived + rounding < found->second.promise.due) {
        ++m_counts.early;
        return false;
    }
    erase(found);
    return true;
}

void return_ledger::cancel(std::uint64_t fingerprint, time_point now) {
    const auto found = m_promises.find(fingerprint);
    if (found == m_promises.end()) {
        return;
    }
    if (now < found->second.promise.due) {
        change_buckets(found->second, -1);
    }
    erase(found);
}

void return_ledger::remove_expired(time_point now) {
    while (!m_by_due.empty() && m_by_due.begin()->first + max_return_lateness < now) {
        const auto found = m_promises.find(m_by_due.begin()->second);
        if (found != m_promises.end() && found->second.promise.due == m_by_due.begin()->first) {
            erase(found);
            ++m_counts.expired;
        }
        m_by_due.erase(m_by_due.begin());
    }
    std::erase_if(m_buckets,
                  [oldest = index_of(now)](const auto& each) { return each.first.second < oldest; });
}

void return_ledger::insert(const entry& added, time_point now) {
    const auto& promised = added.promise;
    if (!m_promises.try_emplace(promised.fingerprint, added).second) {
        return;
    }
    m_by_due.emplace(promised.due, promised.fingerprint);
    auto& owner = m_accounts[{promised.service, promised.tier, promised.workspace}];
    ++owner.promises;
    owner.slot_seconds += added.slot_seconds;
    if (promised.due >= now) {
        change_buckets(added, 1);
    }
}

std::unordered_map<std::uint64_t, return_ledger::entry>::iterator
return_ledger::erase(std::unordered_map<std::uint64_t, entry>::iterator found) {
    const auto& gone = found->second;
    const auto owner = m_accounts.find({gone.promise.service, gone.promise.tier, gone.promise.workspace});
    owner->second.slot_seconds -= gone.slot_seconds;
    if (--owner->second.promises == 0) {
        m_accounts.erase(owner);
    }
    return m_promises.erase(found);
}

void return_ledger::change_buckets(const entry& changed, double sign) {
    const auto& promised = changed.promise;
    const auto first = index_of(promised.due);
    for_each_part(changed.slot_seconds, changed.rate, [&](std::int64_t offset, double seconds) {
        m_buckets[{promised.service, first + offset}][promised.tier] += sign * seconds;
    });
}

} // namespace borageford::policy
