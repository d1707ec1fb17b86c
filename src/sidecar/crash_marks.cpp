// Implementation of crash_marks: crash marks in memory and in the platform's table.
#include "sidecar/crash_marks.hpp"

#include "base/log.hpp"
#include "marks/crash_mark.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <memory>
#include <stdexcept>
#include <utility>

namespace borageford::sidecar {
namespace {

namespace asio = boost::asio;

/// The most rows that are read from the table at once.
constexpr std::size_t scan_limit = 1000;
constexpr std::chrono::milliseconds write_pause{200};
constexpr unsigned write_attempts =
    300; ///< with `write_pause` between them, so that an outage of a minute is survived

std::int64_t milliseconds_since_1970() {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

/// The marks in a row. Logs an error and returns none if the row can't be decoded, for example because
/// another version of the program wrote it.
std::vector<crash_mark> read_marks(const store::row& row) {
    try {
        return marks::decode_row(row.value);
    } catch (const std::invalid_argument& error) {
        log::error("crash_mark_row_unreadable", {{"row", row.key}, {"error", error.what()}});
        return {};
    }
}

bool has_mark(const std::vector<crash_mark>& marks, const identifier& mark) {
    return std::ranges::find(marks, mark, &crash_mark::mark) != marks.end();
}

} // namespace

crash_marks::crash_marks(asio::strand<asio::any_io_executor> strand, timer_service& timers,
                         store::table& table, std::string backend_server, std::chrono::milliseconds lifetime)
    : m_strand(std::move(strand)),
      m_timers(timers),
      m_table(table),
      m_backend_server(std::move(backend_server)),
      m_lifetime(lifetime) {}

void crash_marks::start(std::chrono::milliseconds period) {
    const auto read = [this] {
        if (!std::exchange(m_is_reading, true)) {
            asio::co_spawn(m_strand, read_all(), asio::detached);
        }
    };
    m_timer = m_timers.every(m_strand, period, read);
    read();
}

void crash_marks::stop() {
    m_is_stopped = true;
    m_timer.cancel();
}

std::size_t crash_marks::count(std::uint64_t fingerprint) const {
    const auto found = m_entries.find(fingerprint);
    if (found == m_entries.end()) {
        return 0;
    }
    const auto counts = [this](const crash_mark& mark) {
        return !is_expired(mark);
    };
    return static_cast<std::size_t>(std::ranges::count_if(found->second.marks, counts));
}

void crash_marks::add_received(std::uint64_t fingerprint, const crash_mark& mark) {
    auto& found_entry = find_or_create(fingerprint);
    if (!has_mark(found_entry.marks, mark.mark) && found_entry.marks.size() < marks_limit) {
        found_entry.marks.push_back(mark);
        if (mark.time == 0) {
            found_entry.marks.back().time = milliseconds_since_1970();
        }
    }
}

const crash_mark& crash_marks::add(std::uint64_t fingerprint) {
    auto& found_entry = find_or_create(fingerprint);
    found_entry.marks.push_back({identifier::random(), m_backend_server, milliseconds_since_1970()});
    found_entry.is_written = false;
    return found_entry.marks.back();
}

crash_marks::entry& crash_marks::find_or_create(std::uint64_t fingerprint) {
    const auto [found, is_new] = m_entries.try_emplace(fingerprint);
    if (is_new) {
        m_order.push_back(fingerprint);
        if (m_order.size() > fingerprint_limit) {
            m_entries.erase(m_order.front());
            m_order.pop_front();
        }
    }
    return found->second;
}

asio::awaitable<void> crash_marks::write(std::uint64_t fingerprint, crash_mark mark,
                                         std::chrono::milliseconds limit) {
    const auto done = std::make_shared<asio::steady_timer>(m_strand, limit);
    asio::co_spawn(m_strand, write_until_done(fingerprint, std::move(mark), [done] { done->cancel(); }),
                   asio::detached);
    boost::system::error_code ignored;
    co_await done->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<void> crash_marks::write_until_done(std::uint64_t fingerprint, crash_mark mark,
                                                    std::function<void()> done) {
    asio::steady_timer pause(m_strand);
    for (unsigned attempt = 0; attempt < write_attempts && !m_is_stopped; ++attempt) {
        if (co_await try_write(fingerprint, mark)) {
            const auto found = m_entries.find(fingerprint);
            if (found != m_entries.end()) {
                found->second.is_written = true;
            }
            done();
            co_return;
        }
        pause.expires_after(write_pause);
        boost::system::error_code ignored;
        co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    log::error("crash_mark_not_written", {{"row", marks::key_for(fingerprint)}});
}

/// Adds the mark to its row. Returns false if the write has to be retried. The row is read first because it
/// may contain marks of other sidecars, and because it shows whether an earlier attempt, whose answer was
/// lost, has written this mark already.
asio::awaitable<bool> crash_marks::try_write(std::uint64_t fingerprint, const crash_mark& mark) {
    const auto key = marks::key_for(fingerprint);
    try {
        const auto row = co_await m_table.read(key);
        auto marks = row ? marks::decode_row(row->value) : std::vector<crash_mark>();
        if (has_mark(marks, mark.mark) || marks.size() >= marks_limit) {
            co_return true;
        }
        marks.push_back(mark);
        store::transaction changes;
        changes.conditions.push_back({key, row ? row->version : 0});
        changes.puts.push_back({key, marks::encode_row(marks)});
        const auto result = co_await m_table.transact(changes);
        co_return result.committed;
    } catch (const store::store_error&) {
        co_return false;
    } catch (const std::invalid_argument& error) {
        log::error("crash_mark_row_unreadable", {{"row", key}, {"error", error.what()}});
        co_return true;
    }
}

asio::awaitable<void> crash_marks::read_all() {
    try {
        remove_released(co_await read_rows());
    } catch (const store::store_error&) {
        // The platform is unavailable. The marks in memory are kept.
    }
    m_is_reading = false;
}

/// Adds the marks of all rows in the table and removes expired rows. Returns the fingerprints that have a
/// row.
asio::awaitable<std::set<std::uint64_t>> crash_marks::read_rows() {
    std::set<std::uint64_t> stored;
    std::string after;
    for (;;) {
        const auto rows = co_await m_table.scan(marks::key_prefix, after, scan_limit);
        for (const auto& row : rows) {
            std::uint64_t fingerprint = 0;
            if (!marks::parse_key(row.key, fingerprint)) {
                continue;
            }
            stored.insert(fingerprint);
            const auto marks = read_marks(row);
            for (const auto& mark : marks) {
                add_received(fingerprint, mark);
            }
            // Only the sidecar of the backend server in the last mark removes the row, so that not all
            // sidecars try to.
            const auto are_expired =
                std::ranges::all_of(marks, [this](const crash_mark& mark) { return is_expired(mark); });
            if (are_expired && !marks.empty() && marks.back().backend_server == m_backend_server) {
                co_await remove_row(row);
            }
        }
        if (rows.size() < scan_limit) {
            co_return stored;
        }
        after = rows.back().key;
    }
}

asio::awaitable<void> crash_marks::remove_row(store::row row) {
    store::transaction changes;
    changes.conditions.push_back({row.key, row.version});
    changes.deletes.push_back(row.key);
    co_await m_table.transact(changes);
}

/// Removes the fingerprints that have no row in the table any more: an operator released them, or they
/// expired. Fingerprints with a mark that isn't written to the table yet are kept.
void crash_marks::remove_released(const std::set<std::uint64_t>& stored) {
    std::erase_if(m_order, [&](std::uint64_t fingerprint) {
        const auto found = m_entries.find(fingerprint);
        const auto is_released =
            found != m_entries.end() && found->second.is_written && !stored.contains(fingerprint);
        if (is_released) {
            m_entries.erase(found);
        }
        return is_released;
    });
}

bool crash_marks::is_expired(const crash_mark& mark) const {
    return milliseconds_since_1970() - mark.time > m_lifetime.count();
}

} // namespace borageford::sidecar
