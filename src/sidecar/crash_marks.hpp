// Crash marks: records of the requests that were running when a backend server died. This sidecar's own marks
// and the marks received from other processes are kept in memory and as rows of the platform's table.
#pragma once

#include "base/identifier.hpp"
#include "base/timer_service.hpp"
#include "marks/crash_mark.hpp"
#include "policy/time.hpp"
#include "store/table.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/strand.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace borageford::sidecar {

using marks::crash_mark;

/// The crash marks that this sidecar has made or received. Used on its strand only. Invariants: a mark counts
/// once, however often it is received; at most `fingerprint_limit` fingerprints are kept, and the oldest is
/// removed first.
class crash_marks {
public:
    static constexpr std::size_t fingerprint_limit = 10'000;
    /// The most marks that are kept for one fingerprint. Further marks are ignored.
    static constexpr std::size_t marks_limit = 16;

    /// `backend_server` is the name of this sidecar's own backend server. A mark counts for `lifetime` after
    /// it was made.
    crash_marks(boost::asio::strand<boost::asio::any_io_executor> strand, timer_service& timers,
                store::table& table, std::string backend_server, std::chrono::milliseconds lifetime);

    /// Reads the marks in the table now and then once every `period`, to learn of other sidecars' marks and
    /// of marks that an operator has released.
    void start(std::chrono::milliseconds period);
    void stop();

    /// How many unexpired marks this request has: the number of known times that a backend server died while
    /// the request was running.
    [[nodiscard]] std::size_t count(std::uint64_t fingerprint) const;

    /// Adds a mark that was received from a peer. A mark with the time 0 gets the current time.
    void add_received(std::uint64_t fingerprint, const crash_mark& mark);

    /// Creates a mark for a request that was running when this sidecar's backend server died. The returned
    /// reference is valid until marks are next added or removed.
    const crash_mark& add(std::uint64_t fingerprint);

    /// Writes the mark to the table. Returns when the mark is written or after `limit`, whichever comes
    /// first; after `limit` the write is still retried in the background.
    boost::asio::awaitable<void> write(std::uint64_t fingerprint, crash_mark mark,
                                       std::chrono::milliseconds limit);

private:
    struct entry {
        std::vector<crash_mark> marks;
        bool is_written = true; ///< whether the table's row contains all of `marks`
    };

    /// The entry for `fingerprint`, created if there is none.
    entry& find_or_create(std::uint64_t fingerprint);
    boost::asio::awaitable<bool> try_write(std::uint64_t fingerprint, const crash_mark& mark);
    boost::asio::awaitable<void> write_until_done(std::uint64_t fingerprint, crash_mark mark,
                                                  std::function<void()> done);
    boost::asio::awaitable<void> read_all();
    boost::asio::awaitable<std::set<std::uint64_t>> read_rows();
    boost::asio::awaitable<void> remove_row(store::row row);
    void remove_released(const std::set<std::uint64_t>& stored);
    [[nodiscard]] bool is_expired(const crash_mark& mark) const;

    boost::asio::strand<boost::asio::any_io_executor> m_strand;
    timer_service& m_timers;
    store::table& m_table;
    std::string m_backend_server;
    std::chrono::milliseconds m_lifetime;
    std::unordered_map<std::uint64_t, entry> m_entries;
    std::deque<std::uint64_t> m_order; ///< fingerprints, oldest first
    timer_subscription m_timer;
    bool m_is_reading = false;
    bool m_is_stopped = false;
};

} // namespace borageford::sidecar
