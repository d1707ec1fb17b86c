// Every change of a registration becomes a change of the directory and of the slots.
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

/// What is missed or expired is noticed that much later at most.
constexpr std::chrono::milliseconds tick_period{200};
/// A gateway that missed more asks for everything; some kilobytes in each process.
constexpr std::size_t most_known_removals = 500;

void report_unreadable(std::string_view id, std::string_view reason) {
    events::write(events::event_kind::backend_unreadable, {{"backend", id}, {"reason", reason}});
}

} // namespace

backend_roster::backend_roster(asio::any_io_executor executor, timer_service& timers,
                               const deployment& speech, backend_directory& backends,
                               coordination::slot_broker& slots)
    : m_executor(std::move(executor)),
      m_timers(timers),
      m_speech(speech),
      m_backends(backends),
      m_slots(slots) {}

void backend_roster::start() {
    m_timer = m_timers.every(m_executor, tick_period, [this] { tick(); });
}

std::string backend_roster::id_of(const store::row& row) const {
    return row.key.substr(m_speech.backend_table.size() + 1);
}

void backend_roster::take_all(const store::row_page& page) {
    std::set<std::string, std::less<>> present;
    for (const auto& row : page.rows) {
        present.insert(id_of(row));
        take_present(id_of(row), row.value, row.version);
    }
    std::vector<std::string> missing;
    for (const auto& [id, entry] : m_all) {
        if (!present.contains(id)) {
            missing.push_back(id);
        }
    }
    if (!missing.empty()) {
        m_version = std::max(m_version, page.version); // before the removals, which are filed under it
    }
    for (const auto& id : missing) {
        take_missing(id);
    }
}

void backend_roster::take_change(const store::row_change& change) {
    m_version = std::max(m_version, change.now.version);
    if (change.is_removed) {
        take_missing(id_of(change.now));
    } else {
        take_present(id_of(change.now), change.now.value, change.now.version);
    }
}

void backend_roster::note_other_in_touch(steady_clock::duration unbroken) {
    m_watch.note_other_in_touch(steady_clock::now(), unbroken);
}

void backend_roster::take_outage(steady_clock::time_point answered) {
    m_watch.note_outage(steady_clock::now(), answered);
}

backend_roster::update backend_roster::changes_after(std::uint64_t version) const {
    update result;
    result.version = m_version;
    result.is_whole = version < m_removals_known_after || version == 0;
    result.missed = m_watch.missed();
    if (result.is_whole) {
        result.present = m_all;
        return result;
    }
    std::ranges::copy_if(m_all, std::inserter(result.present, result.present.end()),
                         [version](const auto& entry) { return entry.second.version > version; });
    for (auto removed = m_removed.upper_bound(version); removed != m_removed.end(); ++removed) {
        if (!m_all.contains(removed->second)) {
            result.gone.push_back(removed->second);
        }
    }
    return result;
}

void backend_roster::take_update(const update& newer) {
    if (newer.version <= m_version) {
        return;
    }
    for (const auto& [id, entry] : newer.present) {
        take_present(id, entry.value, entry.version);
    }
    for (const auto& id : newer.missed) {
        m_watch.note_missed(id, steady_clock::now());
    }
    m_version = std::max(m_version, newer.version);
    auto gone = newer.gone;
    if (newer.is_whole) {
        for (const auto& [id, entry] : m_all) {
            if (!newer.present.contains(id)) {
                gone.push_back(id);
            }
        }
    }
    for (const auto& id : gone) {
        if (m_all.contains(id)) {
            remove(id, "not known to a peer that is ahead");
        }
    }
}

void backend_roster::take_present(const std::string& id, const std::string& value, std::uint64_t version) {
    m_watch.note_present(id);
    auto& known = m_all[id];
    if (version <= known.version) {
        return;
    }
    m_version = std::max(m_version, version);
    const bool is_told = known.version > 0 && known.value.empty();
    auto record = read(id, value, is_told);
    known.version = version;
    if (!record.has_value()) {
        refuse_entry(id, known);
        return;
    }
    switch (m_starts.take(id, record->start)) {
    case policy::server_starts::verdict::superseded:
        return; // the entry of the later start stays, for the others too
    case policy::server_starts::verdict::untold:
        if (!is_told) {
            report_unreadable(id, "it names no start, though the server does");
        }
        refuse_entry(id, known);
        return;
    case policy::server_starts::verdict::restarted:
        take_restart(*record);
        break;
    case policy::server_starts::verdict::first:
    case policy::server_starts::verdict::same:
        break;
    }
    known.value = value;
    put_in_use(std::move(*record), version);
}

/// Also where the id stood for a good server before. Whoever wrote it, it is no word of a server that takes
/// work; one that lives writes anew with its next heartbeat, and is missed no longer than that. Going on by
/// the former entry would send requests to a server that may have written, in words that aren't known here,
/// that it takes none.
void backend_roster::refuse_entry(const std::string& id, registration& known) {
    known.value.clear();
    take_out_of_use(id);
}

/// Nothing for an entry that names no server to use. One line tells of it while it stays so, however often it
/// is written.
std::optional<routing::backend_record> backend_roster::read(const std::string& id, std::string_view value,
                                                            bool is_told) const {
    try {
        return m_speech.decode_backend(id, value);
    } catch (const std::exception& error) {
        if (!is_told) {
            report_unreadable(id, error.what());
        }
        return std::nullopt;
    }
}

void backend_roster::put_in_use(routing::backend_record record, std::uint64_t version) {
    if (record.state == routing::backend_state::ready) {
        events::write(events::event_kind::backend_ready, {{"backend", record.id},
                                                          {"service", record.service},
                                                          {"address", http::to_string(record.address)},
                                                          {"slots", std::uint64_t(record.slots)},
                                                          {"start", record.start},
                                                          {"version", version}});
        m_slots.set_server(record.key(), hash_bytes(record.service), record.slots,
                           policy::domain_key_of(record.failure_domain));
    } else {
        m_slots.remove_server(record.key());
        events::write(events::event_kind::backend_draining, {{"backend", record.id}, {"version", version}});
    }
    m_backends.set(std::move(record));
}

/// Requests that run there go on, and connections are kept.
void backend_roster::take_out_of_use(const std::string& id) {
    const auto server = m_backends.find_id(id);
    if (server == nullptr) {
        return;
    }
    auto record = server->record();
    m_slots.remove_server(record.key());
    record.state = routing::backend_state::draining;
    server->set_record(std::move(record));
}

void backend_roster::take_restart(const routing::backend_record& record) {
    const auto former = m_backends.find_id(record.id);
    if (former == nullptr) {
        return;
    }
    events::write(
        events::event_kind::backend_restarted,
        {{"backend", record.id}, {"start", record.start}, {"former_start", former->record().start}});
    m_slots.take_restart(former->record().key());
}

void backend_roster::take_missing(const std::string& id) {
    if (!m_all.contains(id)) {
        return;
    }
    if (has_left_for_good(id)) {
        remove(id, "no longer registered, and had told that it leaves");
    } else if (m_watch.is_gone(id, steady_clock::now())) {
        remove(id, "no longer registered");
    } else {
        events::write(events::event_kind::backend_missed, {{"backend", id}});
    }
}

/// No outage is needed to explain that its registration vanished.
bool backend_roster::has_left_for_good(std::string_view id) const {
    const auto server = m_backends.find_id(id);
    return server != nullptr && server->record().state == routing::backend_state::draining;
}

void backend_roster::remove(const std::string& id, std::string_view reason) {
    m_all.erase(id);
    m_removed.emplace(m_version, id);
    if (m_removed.size() > most_known_removals) {
        m_removals_known_after = m_removed.begin()->first;
        m_removed.erase(m_removed.begin());
    }
    m_starts.forget(id);
    if (const auto server = m_backends.find_id(id)) {
        m_slots.remove_server(server->record().key());
        m_backends.remove(id);
    }
    events::write(events::event_kind::backend_gone, {{"backend", id}, {"reason", reason}});
}

void backend_roster::tick() {
    check_missed();
    m_backends.close_expired(steady_clock::now());
}

void backend_roster::check_missed() {
    for (const auto& id : m_watch.take_expired(steady_clock::now())) {
        if (m_all.contains(id)) {
            remove(id, "not registered again after an outage of the store");
        }
    }
}

} // namespace borageford::gateway
