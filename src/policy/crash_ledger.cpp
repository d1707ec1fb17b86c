// Implements crash_ledger: two quarantines count the marks, and the lists keep what is told to others.
#include "policy/crash_ledger.hpp"

#include <algorithm>
#include <functional>
#include <iterator>
#include <ranges>
#include <string>

namespace borageford::policy {

namespace {

using std::chrono::seconds;

constexpr std::size_t max_marks = 4096;
constexpr std::size_t max_clearances = 4096;
constexpr seconds mark_lifetime{300};

/// Long enough for an operator to investigate, short enough that an innocent request isn't refused for good.
/// Something that crashes a server once more after that isn't innocent.
constexpr seconds first_quarantine{60};
constexpr seconds further_quarantine{3600};

/// All gateways may clear a popular suspect at once. Only the first of their clearances is passed on.
constexpr std::chrono::milliseconds repeated_clearance{1000};

constexpr std::size_t crashes_by_request = 2;
/// A part is in many requests, so other crashes hit it by chance more often than one request.
constexpr std::size_t crashes_by_part = 3;

/// A part is probed this long after the last crash. After each probe that crashed its server, too, the next
/// one comes later by this factor, so that a harmful part crashes three further servers in an hour.
constexpr seconds first_probe{10};
constexpr int probe_factor = 6;
/// Crashes that are further apart weren't caused by requests that were sent together.
constexpr seconds same_time{5};

quarantine_settings settings_for(std::size_t crashes, seconds first_time) {
    quarantine_settings result;
    result.crashes_before_quarantine = crashes;
    result.quarantine_time = first_time;
    result.further_quarantine_time = further_quarantine;
    result.mark_lifetime = mark_lifetime;
    result.most_fingerprints = max_marks;
    return result;
}

} // namespace

crash_ledger::crash_ledger()
    : m_quarantines{quarantine(settings_for(crashes_by_request, first_quarantine)),
                    quarantine(settings_for(crashes_by_part, further_quarantine))} {}

crash_ledger::change crash_ledger::add(const crash_mark& mark, time_point now) {
    const auto cleared = m_clearances.find(mark.suspect);
    const bool is_void = cleared != m_clearances.end() && mark.at <= cleared->second.at;
    if (mark.suspect.key == 0 || is_void || now - mark.at > mark_lifetime) {
        return change::none;
    }
    drop_oldest(now);
    const auto before = quarantine_left(mark.suspect, now);
    const identifier crash{mark.server, mark.suspect.key};
    auto& quarantined = quarantine_of(mark.suspect.kind);
    if (!quarantined.record_mark(mark.suspect.key, std::to_string(mark.server), crash, mark.at)) {
        return change::none;
    }
    m_marks.push_back(mark);
    const auto after = quarantine_left(mark.suspect, now);
    return after > before ? change::quarantined : change::marked;
}

crash_ledger::clearing crash_ledger::clear(const crash_clearance& clearance) {
    const auto known = m_clearances.find(clearance.suspect);
    const bool is_known = known != m_clearances.end();
    if (is_known && known->second.at >= clearance.at) {
        return clearing::none;
    }
    if (!is_known && m_clearances.size() >= max_clearances) {
        m_clearances.erase(
            std::ranges::min_element(m_clearances, {}, [](const auto& entry) { return entry.second.at; }));
    }
    const bool is_repeated = is_known && clearance.at - known->second.at < repeated_clearance;
    m_clearances[clearance.suspect] = clearance;
    const auto voided = std::erase_if(m_marks, [&](const crash_mark& mark) {
        return mark.suspect == clearance.suspect && mark.at <= clearance.at;
    });
    if (voided > 0) {
        quarantine_of(clearance.suspect.kind).release(clearance.suspect.key);
        return clearing::cleared;
    }
    return is_repeated ? clearing::none : clearing::recorded;
}

std::optional<duration> crash_ledger::quarantine_left(const crash_suspect& suspect, time_point now) const {
    return m_marks.empty() || suspect.key == 0 ? std::nullopt
                                               : quarantine_of(suspect.kind).time_left(suspect.key, now);
}

bool crash_ledger::is_probe_due(const crash_suspect& suspect, time_point now) const {
    if (suspect.kind != suspect_kind::prompt_part || !quarantine_left(suspect, now).has_value()) {
        return false;
    }
    auto known = list_marks(suspect);
    std::ranges::sort(known, {}, &crash_mark::at);
    duration wait = first_probe;
    for (std::size_t index = crashes_by_part; index < known.size(); ++index) {
        wait *= known[index].at - known[index - 1].at > same_time ? probe_factor : 1;
    }
    return !known.empty() && now - known.back().at >= wait;
}

std::size_t crash_ledger::marks(const crash_suspect& suspect, time_point now) const {
    return m_marks.empty() ? 0 : quarantine_of(suspect.kind).marks(suspect.key, now);
}

std::vector<crash_mark> crash_ledger::list_marks(const crash_suspect& suspect) const {
    std::vector<crash_mark> result;
    std::ranges::copy_if(m_marks, std::back_inserter(result),
                         [&](const crash_mark& mark) { return mark.suspect == suspect; });
    return result;
}

std::size_t crash_ledger::count_quarantined(time_point now) const {
    std::size_t result = 0;
    for (const auto& quarantined : m_quarantines) {
        result += quarantined.list(now).size();
    }
    return result;
}

void crash_ledger::drop_oldest(time_point now) {
    while (!m_marks.empty()) {
        const auto& oldest = m_marks.front();
        const bool is_old =
            now - oldest.at > mark_lifetime && !quarantine_left(oldest.suspect, now).has_value();
        if (!is_old && m_marks.size() < max_marks) {
            return;
        }
        m_dropped += is_old ? 0 : 1;
        m_marks.pop_front();
    }
}

crash_statement crash_ledger::state(time_point now) const {
    crash_statement result;
    const auto is_quarantined = [&](const crash_mark& mark) {
        return quarantine_left(mark.suspect, now).has_value();
    };
    const auto latest_first = std::ranges::subrange(m_marks.rbegin(), m_marks.rend());
    std::ranges::copy_if(latest_first, std::back_inserter(result.marks), is_quarantined);
    std::ranges::copy_if(latest_first, std::back_inserter(result.marks), std::not_fn(is_quarantined));
    result.marks.resize(std::min(result.marks.size(), max_stated));
    for (const auto& [suspect, clearance] : m_clearances) {
        result.clearances.push_back(clearance);
    }
    std::ranges::sort(result.clearances, std::ranges::greater{}, &crash_clearance::at);
    result.clearances.resize(std::min(result.clearances.size(), max_stated));
    return result;
}

} // namespace borageford::policy
