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

constexpr std::chrono::milliseconds missed_check_period{200};
/// A gateway that missed more asks for everything; some kilobytes in each process.
constexpr std::size_t most_known_removals = 500;

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
    m_timer = m_timers.every(m_executor, missed_check_period, [this] { check_missed(); });
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

void backend_roster::note_other_in_touch() {
    m_watch.note_other_in_touch(steady_clock::now());
}

void backend_roster::take_outage() {
    m_watch.note_outage(steady_clock::now());
}

backend_roster::update backend_roster::changes_after(std::uint64_t version) const {
    update result;
    result.version = m_version;
    result.is_whole = version < m_removals_known_after || version == 0;
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
    known = {value, version};
    m_version = std::max(m_version, version);
    try {
        auto record = m_speech.decode_backend(id, value);
        const bool is_ready = record.state == routing::backend_state::ready;
        if (is_ready) {
            events::write(events::event_kind::backend_ready, {{"backend", id},
                                                              {"service", record.service},
                                                              {"address", http::to_string(record.address)},
                                                              {"slots", std::uint64_t(record.slots)},
                                                              {"version", version}});
            m_slots.set_server(hash_bytes(id), hash_bytes(record.service), record.slots);
        } else {
            m_slots.remove_server(hash_bytes(id));
            events::write(events::event_kind::backend_draining, {{"backend", id}, {"version", version}});
        }
        m_backends.set(std::move(record));
    } catch (const std::exception& error) {
        events::write(events::event_kind::backend_unreadable, {{"backend", id}, {"reason", error.what()}});
    }
}

void backend_roster::take_missing(const std::string& id) {
    if (!m_all.contains(id)) {
        return;
    }
    if (m_watch.is_gone(id, steady_clock::now())) {
        remove(id, "no longer registered");
    } else {
        events::write(events::event_kind::backend_missed, {{"backend", id}});
    }
}

void backend_roster::remove(const std::string& id, std::string_view reason) {
    m_all.erase(id);
    m_removed.emplace(m_version, id);
    if (m_removed.size() > most_known_removals) {
        m_removals_known_after = m_removed.begin()->first;
        m_removed.erase(m_removed.begin());
    }
    m_slots.remove_server(hash_bytes(id));
    m_backends.remove(id);
    events::write(events::event_kind::backend_gone, {{"backend", id}, {"reason", reason}});
}

void backend_roster::check_missed() {
    for (const auto& id : m_watch.take_expired(steady_clock::now())) {
        if (m_all.contains(id)) {
            remove(id, "not registered again after an outage of the store");
        }
    }
}

} // namespace borageford::gateway
