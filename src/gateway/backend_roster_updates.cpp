// Implements what the roster does about registrations that may be older than others: updates exchanged with
// other gateways, and a store that was restored from an older copy.
#include "events/event_log.hpp"
#include "gateway/backend_roster.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace borageford::gateway {

using std::chrono::steady_clock;

backend_roster::update backend_roster::changes_after(store::position held) const {
    update result;
    result.position = m_position;
    const bool is_other_era = held.era != m_position.era;
    result.is_complete = is_other_era || held.version == 0 || !m_removals.has_all_since(held);
    result.retained = m_watch.retained();
    if (result.is_complete) {
        result.removals_begin = m_removals.begin();
        result.present = m_all;
        return result;
    }
    std::ranges::copy_if(m_all, std::inserter(result.present, result.present.end()),
                         [held](const auto& entry) { return entry.second.position > held; });
    for (auto& id : m_removals.after(held)) {
        if (!m_all.contains(id)) {
            result.removed.push_back(std::move(id));
        }
    }
    return result;
}

void backend_roster::apply_update(const update& newer) {
    if (newer.position <= m_position) {
        return;
    }
    const bool may_lack_servers = m_had_outage || !m_slots.streams().has_current_servers();
    if (newer.is_complete && m_has_read_all && may_lack_servers) {
        interrupt_history("a gateway sent all servers, not the changes");
    }
    const bool is_of_new_era = is_new_era(newer.position);
    if (is_of_new_era) {
        begin_era(newer.position, "peer");
    }
    std::set<std::string, std::less<>> present;
    for (const auto& [id, entry] : newer.present) {
        present.insert(id);
        apply_registration(id, entry);
    }
    for (const auto& id : newer.retained) {
        m_watch.retain_registration(id, steady_clock::now());
    }
    m_position = std::max(m_position, newer.position);
    if (newer.is_complete) {
        m_removals.begin_at(std::max(m_position, newer.removals_begin));
    }
    if (is_of_new_era) {
        // When the era began, the peer may have known fewer servers than this process.
        handle_absent(present);
        report_era();
        return;
    }
    auto removed = newer.removed;
    if (newer.is_complete) {
        for (const auto& [id, entry] : m_all) {
            if (!present.contains(id)) {
                removed.push_back(id);
            }
        }
    }
    for (const auto& id : removed) {
        m_suspects.erase(id);
        if (m_all.contains(id)) {
            remove(id, "not registered according to a peer with a newer state");
        } else {
            note_removal_of_unknown(id);
        }
    }
}

// A store that was restored from an older copy has lost the latest writes. Servers and operators write them
// again, but not at once. Until then, rows of the copy may be older than the state known here, and a server
// that the copy doesn't have may be alive or not.

/// Returns whether a read at this position is the first one of a new era. The first read of a process never
/// is, since nothing older is known that could conflict with it.
bool backend_roster::is_new_era(store::position seen) const {
    return seen.era > m_position.era && m_position != store::position{};
}

void backend_roster::begin_era(store::position first_read, std::string_view source) {
    m_era_report = era_report{m_position, source};
    m_first_read = first_read;
    m_position = {first_read.era, 0};
    m_watch.record_store_restore(steady_clock::now());
    m_rollouts.handle_store_restore();
}

void backend_roster::report_era() {
    if (!m_era_report.has_value()) {
        return;
    }
    events::write(events::event_kind::store_era_changed, {{"era", m_position.era},
                                                          {"former", m_era_report->previous.era},
                                                          {"held", m_era_report->previous.version},
                                                          {"version", m_first_read.version},
                                                          {"source", m_era_report->source},
                                                          {"missing", std::uint64_t(m_era_report->missing)},
                                                          {"outdated", std::uint64_t(m_era_report->stale)}});
    m_era_report.reset();
}

/// Returns whether a row at `at` may be older than the state known at `known`. Two neighbouring eras have the
/// same changes up to the version of the copy. A row that was there at the first read of the new era, and
/// whose version isn't above the known one, is either a row of the copy or was written anew under a reused
/// version number. The two cases can't be distinguished.
bool backend_roster::may_be_stale(store::position known, store::position at) const {
    return known.era < at.era && at <= m_first_read && at.version <= known.version;
}

bool backend_roster::was_removed_after(const std::string& id, store::position at) const {
    const auto removed = m_removals.find(id);
    return removed.has_value() && may_be_stale(*removed, at);
}

/// Sets aside a registration found in the older copy whose server is known to have been removed: its address
/// may belong to another server by now. The registration is accepted once its row is written again, or once
/// it has stood long enough that its server must have renewed it.
void backend_roster::set_aside(const std::string& id, registration entry) {
    m_position = std::max(m_position, entry.position);
    m_suspects.try_emplace(id,
                           suspect_registration{std::move(entry), steady_clock::now() + m_registration_life});
    count_stale();
}

void backend_roster::check_suspects() {
    const auto now = steady_clock::now();
    registrations renewed;
    for (const auto& [id, suspect] : m_suspects) {
        if (suspect.until <= now) {
            renewed.emplace(id, suspect.entry);
        }
    }
    for (const auto& [id, entry] : renewed) {
        m_suspects.erase(id);
        accept(id, entry);
    }
}

} // namespace borageford::gateway
