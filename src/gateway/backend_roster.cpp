// Implementation of backend_roster: turns every change of a registration into a change of the directory and
// the slots. Updates of other gateways and restored stores are in backend_roster_updates.cpp.
#include "gateway/backend_roster.hpp"

#include "base/hash.hpp"
#include "events/event_log.hpp"
#include "http/client.hpp"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

namespace borageford::gateway {

namespace asio = boost::asio;
using std::chrono::steady_clock;

namespace {

/// Retained and suspect registrations whose time is over are handled with at most this delay.
constexpr std::chrono::milliseconds tick_period{200};
void report_unreadable(std::string_view id, std::string_view reason) {
    events::write(events::event_kind::backend_unreadable, {{"backend", id}, {"reason", reason}});
}

} // namespace

backend_roster::backend_roster(asio::any_io_executor executor, timer_service& timers,
                               const deployment& current_deployment, backend_directory& backends,
                               coordination::slot_broker& slots, crash_watch& crashes,
                               rollout_manager& rollouts, std::chrono::milliseconds registration_life)
    : m_executor(std::move(executor)),
      m_timers(timers),
      m_deployment(current_deployment),
      m_backends(backends),
      m_slots(slots),
      m_crashes(crashes),
      m_rollouts(rollouts),
      m_registration_life(registration_life) {}

void backend_roster::start() {
    m_timer = m_timers.every(m_executor, tick_period, [this] { tick(); });
}

std::string backend_roster::id_of(const store::row& row) const {
    return row.key.substr(m_deployment.backend_table.size() + 1);
}

void backend_roster::apply_page(const store::row_page& page) {
    if (page.position.era < m_position.era) {
        return;
    }
    if (m_has_read_all && m_had_outage) {
        interrupt_history("all servers were read again");
    }
    m_has_read_all = true;
    m_had_outage = false;
    if (is_new_era(page.position)) {
        begin_era(page.position, "store");
    }
    m_position = std::max(m_position, store::position{page.position.era, 0});
    std::set<std::string, std::less<>> present;
    for (const auto& row : page.rows) {
        present.insert(id_of(row));
        apply_registration(id_of(row), {row.value, {page.position.era, row.version}});
    }
    const auto is_missing = [&](const auto& entry) {
        return !present.contains(entry.first);
    };
    if (std::ranges::any_of(m_all, is_missing)) {
        // This must precede the removals, which are recorded at m_position.
        m_position = std::max(m_position, page.position);
    }
    handle_absent(present);
    m_removals.begin_at(std::max(m_position, page.position));
    report_era();
}

void backend_roster::apply_change(const store::row_change& change) {
    const store::position at{m_position.era, change.now.version};
    m_position = std::max(m_position, at);
    if (change.is_removed) {
        handle_missing(id_of(change.now));
    } else {
        apply_registration(id_of(change.now), {change.now.value, at});
    }
}

/// Treats every known registration that isn't in `present` as missing, and drops the suspect ones that
/// aren't.
void backend_roster::handle_absent(const std::set<std::string, std::less<>>& present) {
    std::vector<std::string> missing;
    for (const auto& [id, entry] : m_all) {
        if (!present.contains(id)) {
            missing.push_back(id);
        }
    }
    for (const auto& id : missing) {
        handle_missing(id);
    }
    std::erase_if(m_suspects, [&](const auto& entry) { return !present.contains(entry.first); });
}

void backend_roster::record_other_connected(steady_clock::duration unbroken) {
    m_watch.record_other_connected(steady_clock::now(), unbroken);
}

void backend_roster::record_outage(steady_clock::time_point answered) {
    m_had_outage = true;
    m_watch.record_outage(steady_clock::now(), answered);
}

void backend_roster::apply_registration(const std::string& id, const registration& received) {
    m_watch.record_present(id);
    if (!m_all.contains(id) && was_removed_after(id, received.position)) {
        set_aside(id, received);
        return;
    }
    m_suspects.erase(id);
    accept(id, received);
}

void backend_roster::accept(const std::string& id, const registration& received) {
    auto& known = m_all[id];
    if (received.position <= known.position) {
        return;
    }
    m_position = std::max(m_position, received.position);
    const bool was_reported = known.position.version > 0 && known.value.empty();
    const bool is_stale = may_be_stale(known.position, received.position) && !known.value.empty();
    auto record = read(id, received.value, was_reported);
    known.position = received.position;
    if (!record.has_value()) {
        reject_row(id, known);
        return;
    }
    switch (m_starts.take(id, record->start)) {
    case policy::server_starts::verdict::superseded:
        return; // m_all keeps the value of the later start, which is also what other gateways receive
    case policy::server_starts::verdict::unstated:
        if (!was_reported) {
            report_unreadable(id, "it names no start, but an earlier registration of the server did");
        }
        reject_row(id, known);
        return;
    case policy::server_starts::verdict::restarted:
        handle_restart(*record);
        break;
    case policy::server_starts::verdict::first:
        break;
    case policy::server_starts::verdict::same:
        if (is_stale && record->state == routing::backend_state::ready) {
            if (received.value != known.value) {
                count_stale();
            }
            return; // using the stale row would send requests to a server that has announced that it drains
        }
        break;
    }
    known.value = received.value;
    put_in_use(std::move(*record), received.position);
}

void backend_roster::count_stale() {
    if (m_era_report.has_value()) {
        ++m_era_report->stale;
    }
}

/// Takes a server out of use whose row can't be used, also if an earlier row of the same id was good. Whoever
/// wrote the row, it doesn't state that the server accepts work. A live server writes its row again with its
/// next heartbeat, so it is out of use no longer than that. Continuing with the previous row would send
/// requests to a server that may have announced, in a newer format unknown here, that it accepts none.
void backend_roster::reject_row(const std::string& id, registration& known) {
    known.value.clear();
    take_out_of_use(id);
}

/// Decodes a registration; nothing if it can't be decoded. The failure is logged once for as long as the id's
/// row stays unusable (`was_reported`), however often it is written.
std::optional<routing::backend_record> backend_roster::read(const std::string& id, std::string_view value,
                                                            bool was_reported) const {
    try {
        return m_deployment.decode_backend(id, value);
    } catch (const std::exception& error) {
        if (!was_reported) {
            report_unreadable(id, error.what());
        }
        return std::nullopt;
    }
}

void backend_roster::put_in_use(routing::backend_record record, store::position at) {
    if (m_slots.has_departed(record.key())) {
        record.state = routing::backend_state::draining;
    }
    if (record.state == routing::backend_state::ready) {
        events::write(events::event_kind::backend_ready, {{"backend", record.id},
                                                          {"service", record.service},
                                                          {"address", http::to_string(record.address)},
                                                          {"slots", std::uint64_t(record.slots)},
                                                          {"software", record.version},
                                                          {"start", record.start},
                                                          {"era", at.era},
                                                          {"version", at.version}});
        m_slots.streams().history().add(record.key(), hash_bytes(record.service),
                                        policy::software_key_of(record.version), steady_clock::now());
        m_rollouts.update_slots(record);
    } else {
        m_slots.streams().history().note_former(hash_bytes(record.service),
                                                policy::software_key_of(record.version), steady_clock::now());
        withdraw(record);
        m_crashes.record_leaving(record.key());
        events::write(events::event_kind::backend_draining,
                      {{"backend", record.id}, {"era", at.era}, {"version", at.version}});
    }
    m_backends.set(std::move(record));
}

/// Removes the slots of a server. No more streams begin there.
void backend_roster::withdraw(const routing::backend_record& record) {
    m_rollouts.withdraw_slots(record);
    m_slots.streams().history().remove(record.key(), steady_clock::now());
}

/// Stops new requests to the server. Running requests continue, and idle connections are kept.
void backend_roster::take_out_of_use(const std::string& id) {
    const auto server = m_backends.find_id(id);
    if (server == nullptr) {
        return;
    }
    auto record = server->record();
    withdraw(record);
    m_crashes.record_leaving(record.key());
    record.state = routing::backend_state::draining;
    server->set_record(std::move(record));
}

void backend_roster::handle_departure(policy::server_key server) {
    if (const auto known = m_backends.find(server)) {
        take_out_of_use(known->record().id);
    }
}

void backend_roster::handle_restart(const routing::backend_record& record) {
    const auto previous = m_backends.find_id(record.id);
    if (previous == nullptr) {
        return;
    }
    events::write(
        events::event_kind::backend_restarted,
        {{"backend", record.id}, {"start", record.start}, {"former_start", previous->record().start}});
    m_slots.streams().history().remove(previous->record().key(), steady_clock::now());
    m_slots.remove_server(previous->record().key());
    m_crashes.record_crash(*previous);
}

void backend_roster::handle_missing(const std::string& id) {
    m_suspects.erase(id);
    if (!m_all.contains(id)) {
        note_removal_of_unknown(id);
        return;
    }
    if (m_era_report.has_value()) {
        ++m_era_report->missing;
    }
    if (has_drained(id)) {
        remove(id, "no longer registered, after it had announced that it drains");
    } else if (m_watch.should_remove(id, steady_clock::now())) {
        remove(id, "no longer registered");
    } else {
        events::write(events::event_kind::backend_missed, {{"backend", id}});
    }
}

/// Notes the removal of a server that registered and left between two reads here. Other gateways may know it,
/// and learn from this one that it is gone.
void backend_roster::note_removal_of_unknown(const std::string& id) {
    if (!m_removals.find(id).has_value()) {
        m_removals.add(id, m_position);
        interrupt_history("a server registered and left unseen: " + id);
    }
}

/// Streams may have begun at servers of which this process knows nothing.
void backend_roster::interrupt_history(std::string_view reason) {
    events::write(events::event_kind::software_uncertain, {{"reason", events::excerpt(reason)}});
    m_slots.streams().history().interrupt(steady_clock::now());
}

/// Returns whether the server had announced that it drains, so that its registration vanished for that reason
/// and not because of an outage.
bool backend_roster::has_drained(std::string_view id) const {
    const auto server = m_backends.find_id(id);
    return server != nullptr && server->record().state == routing::backend_state::draining;
}

void backend_roster::remove(const std::string& id, std::string_view reason) {
    m_all.erase(id);
    m_removals.add(id, m_position);
    m_starts.forget(id);
    if (const auto server = m_backends.find_id(id)) {
        m_crashes.record_removal(*server);
        withdraw(server->record());
        m_backends.remove(id);
    }
    events::write(events::event_kind::backend_gone, {{"backend", id}, {"reason", reason}});
}

void backend_roster::tick() {
    remove_overdue();
    check_suspects();
    m_rollouts.tick();
    m_backends.close_expired(steady_clock::now());
}

void backend_roster::remove_overdue() {
    for (const auto& id : m_watch.take_expired(steady_clock::now())) {
        if (m_all.contains(id)) {
            remove(id, "not registered again after an outage of the store");
        }
    }
}

} // namespace borageford::gateway
