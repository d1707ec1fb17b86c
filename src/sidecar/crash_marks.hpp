// Marks of requests that were running when a backend server died: those made here and those heard of, and
// their rows at the platform's table.
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

/// Used on its strand. Invariants: a mark counts once, however often it is heard of; at most
/// `fingerprint_limit` fingerprints are held, the oldest going first.
class crash_marks {
public:
    static constexpr std::size_t fingerprint_limit = 10'000;
    /// Marks of one fingerprint beyond this change nothing.
    static constexpr std::size_t marks_limit = 16;

    /// `lifetime`: how long a mark counts.
    crash_marks(boost::asio::strand<boost::asio::any_io_executor> strand, timer_service& timers,
                store::table& table, std::string backend_server, std::chrono::milliseconds lifetime);

    /// Starts to read the marks at the table at this period: those of others, and those that were released.
    void start(std::chrono::milliseconds period);
    void stop();

    /// Backend servers known to have died while this request ran.
    [[nodiscard]] std::size_t count(std::uint64_t fingerprint) const;

    /// A peer told of a mark.
    void take(std::uint64_t fingerprint, const crash_mark& mark);

    /// Makes a mark for a request that ran when the backend server died.
    const crash_mark& add(std::uint64_t fingerprint);

    /// Writes a mark's row; gives up after `limit`, and goes on trying in the background.
    boost::asio::awaitable<void> write(std::uint64_t fingerprint, crash_mark mark,
                                       std::chrono::milliseconds limit);

private:
    struct entry {
        std::vector<crash_mark> marks;
        bool is_written = true; ///< its row has all of them
    };

    entry& hold(std::uint64_t fingerprint);
    boost::asio::awaitable<bool> try_write(std::uint64_t fingerprint, const crash_mark& mark);
    boost::asio::awaitable<void> write_until_done(std::uint64_t fingerprint, crash_mark mark,
                                                  std::function<void()> done);
    boost::asio::awaitable<void> read_all();
    boost::asio::awaitable<std::set<std::uint64_t>> read_rows();
    boost::asio::awaitable<void> remove_row(store::row row);
    void forget_released(const std::set<std::uint64_t>& standing);
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
