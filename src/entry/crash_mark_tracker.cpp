// Collects crash marks from peers and from the platform's table.
#include "entry/crash_mark_tracker.hpp"

#include "marks/crash_mark.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <atomic>
#include <mutex>
#include <set>
#include <utility>

namespace borageford::entry {

namespace asio = boost::asio;
using std::chrono::steady_clock;

namespace {

constexpr std::size_t scan_limit = 1000; ///< rows read in one scan of the table

} // namespace

struct crash_mark_tracker::state : std::enable_shared_from_this<crash_mark_tracker::state> {
    state(asio::any_io_executor reader_executor, timer_service& timer_provider, store::table& mark_table)
        : executor(std::move(reader_executor)), timers(timer_provider), table(mark_table) {}

    asio::awaitable<void> read_all();
    void record_row(const store::row& row, std::set<std::uint64_t>& current_rows);
    void release_missing(const std::set<std::uint64_t>& current_rows);

    asio::any_io_executor executor;
    timer_service& timers;
    store::table& table;
    timer_subscription timer;
    std::atomic<bool> is_reading = false;

    mutable std::mutex mutex;
    policy::quarantine quarantine; ///< guarded by mutex
    /// Fingerprints with a row when the table was last read. Guarded by mutex.
    std::set<std::uint64_t> known_rows;
};

void crash_mark_tracker::state::record_row(const store::row& row, std::set<std::uint64_t>& current_rows) {
    std::uint64_t fingerprint = 0;
    if (!marks::parse_key(row.key, fingerprint)) {
        return;
    }
    current_rows.insert(fingerprint);
    const auto now = steady_clock::now();
    const std::scoped_lock lock(mutex);
    for (const auto& mark : marks::decode_row(row.value)) {
        quarantine.record_mark(fingerprint, mark.backend_server, mark.mark, now);
    }
}

/// Ends the quarantine of requests whose row has disappeared from the table, which means that an operator
/// released them. `current_rows` holds the fingerprints that have a row now.
void crash_mark_tracker::state::release_missing(const std::set<std::uint64_t>& current_rows) {
    const std::scoped_lock lock(mutex);
    for (const auto fingerprint : known_rows) {
        if (!current_rows.contains(fingerprint)) {
            quarantine.release(fingerprint);
        }
    }
    known_rows = current_rows;
}

asio::awaitable<void> crash_mark_tracker::state::read_all() {
    const auto self = shared_from_this();
    try {
        std::set<std::uint64_t> current_rows;
        std::string after;
        for (bool is_last_page = false; !is_last_page;) {
            const auto rows = co_await table.scan(marks::key_prefix, after, scan_limit);
            for (const auto& row : rows) {
                record_row(row, current_rows);
                after = row.key;
            }
            is_last_page = rows.size() < scan_limit;
        }
        release_missing(current_rows);
    } catch (const std::exception&) {
        // The platform can't be reached, or another version of this program wrote a row: the marks known so
        // far stay in force.
    }
    is_reading.store(false);
}

crash_mark_tracker::crash_mark_tracker(asio::any_io_executor executor, timer_service& timers,
                                       store::table& table)
    : m_state(std::make_shared<state>(std::move(executor), timers, table)) {}

crash_mark_tracker::~crash_mark_tracker() {
    m_state->timer.cancel();
}

void crash_mark_tracker::start(std::chrono::milliseconds period) {
    const auto read = [weak = std::weak_ptr(m_state)] {
        const auto shared = weak.lock();
        if (shared != nullptr && !shared->is_reading.exchange(true)) {
            asio::co_spawn(shared->executor, shared->read_all(), asio::detached);
        }
    };
    m_state->timer = m_state->timers.every(m_state->executor, period, read);
    read();
}

bool crash_mark_tracker::record(const wire::crash_mark_message& mark) {
    const std::scoped_lock lock(m_state->mutex);
    return m_state->quarantine.record_mark(mark.fingerprint, mark.backend_server, wire::from_wire(mark.mark),
                                           steady_clock::now());
}

std::size_t crash_mark_tracker::marks(std::uint64_t fingerprint) const {
    const std::scoped_lock lock(m_state->mutex);
    return m_state->quarantine.marks(fingerprint, steady_clock::now());
}

std::optional<std::chrono::milliseconds>
crash_mark_tracker::quarantine_left(std::uint64_t fingerprint) const {
    const std::scoped_lock lock(m_state->mutex);
    const auto left = m_state->quarantine.time_left(fingerprint, steady_clock::now());
    if (!left) {
        return std::nullopt;
    }
    return std::chrono::ceil<std::chrono::milliseconds>(*left);
}

} // namespace borageford::entry
