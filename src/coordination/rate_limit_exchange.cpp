// Numbers the notices of this process, and keeps their times right when the process or the machine stood
// still.
#include "coordination/rate_limit_exchange.hpp"

#include "base/suspended_time.hpp"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace borageford::coordination {

namespace {

/// Notices in one datagram that stays below the size of an Ethernet frame.
constexpr std::size_t notices_in_datagram = 24;

} // namespace

rate_limit_exchange::rate_limit_exchange(policy::member_key self, std::uint64_t incarnation,
                                         change_handler on_change)
    : m_self(self), m_ids(incarnation), m_on_change(std::move(on_change)), m_pauses(clock::now()) {
    check_clock();
}

void rate_limit_exchange::tick(const std::function<bool(policy::server_key)>& is_in_use) {
    check_clock();
    m_table.expire(clock::now(), is_in_use);
}

void rate_limit_exchange::check_clock() {
    const auto missed =
        m_pauses.update(clock::now(), std::chrono::duration_cast<policy::duration>(suspended_time()));
    if (missed > policy::duration::zero()) {
        m_table.add_age(missed);
    }
}

void rate_limit_exchange::observe(policy::server_key server, std::optional<double> limit,
                                  policy::time_point asked) {
    check_clock();
    const auto now = clock::now();
    const auto sent = m_pauses.correct(asked);
    const auto heard = std::max(sent, m_pauses.earliest_arrival(now));
    report(m_table.observe({server, m_ids.next(), limit, sent, heard, m_self}, now));
}

void rate_limit_exchange::merge(std::span<const policy::rate_limit_notice> notices) {
    const auto now = clock::now();
    for (const auto& notice : notices) {
        report(m_table.merge(notice, now));
    }
}

void rate_limit_exchange::report(const std::optional<policy::rate_limit_table::change>& change) const {
    if (change.has_value()) {
        m_on_change(*change);
    }
}

std::vector<policy::rate_limit_notice> rate_limit_exchange::take_next() {
    check_clock();
    return m_table.take_next(clock::now());
}

std::vector<std::vector<policy::rate_limit_notice>> rate_limit_exchange::list_for_new_process() const {
    std::vector<std::vector<policy::rate_limit_notice>> parts;
    for (const auto& notice : m_table.latest(max_notices_for_new_process)) {
        if (parts.empty() || parts.back().size() == notices_in_datagram) {
            parts.emplace_back();
        }
        parts.back().push_back(notice);
    }
    return parts;
}

bool rate_limit_exchange::is_new_process(policy::member_key member, std::uint64_t incarnation) {
    auto& known = m_incarnations[member];
    return std::exchange(known, incarnation) != incarnation;
}

} // namespace borageford::coordination
