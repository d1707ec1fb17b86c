// Collects crash marks, which say that a request was running when a backend server died, and thereby which
// requests are quarantined. Marks arrive in messages from sidecars and from the platform's table, to which a
// sidecar writes each mark before it reports the failure.
#pragma once

#include "base/timer_service.hpp"
#include "policy/quarantine.hpp"
#include "store/table.hpp"
#include "wire/message.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>

namespace borageford::entry {

/// The crash marks and quarantined requests that this entry knows of. Thread-safe.
class crash_mark_tracker {
public:
    crash_mark_tracker(boost::asio::any_io_executor executor, timer_service& timers, store::table& table);
    ~crash_mark_tracker();
    crash_mark_tracker(const crash_mark_tracker&) = delete;
    crash_mark_tracker& operator=(const crash_mark_tracker&) = delete;
    crash_mark_tracker(crash_mark_tracker&&) = delete;
    crash_mark_tracker& operator=(crash_mark_tracker&&) = delete;

    /// Reads all marks from the table immediately, and again after every period.
    void start(std::chrono::milliseconds period);

    /// Records a mark that a sidecar sent. Returns whether the mark was new; the same mark arrives from
    /// several peers.
    bool record(const wire::crash_mark_message& mark);

    /// How many times a backend server is known to have died while the request with this fingerprint ran.
    [[nodiscard]] std::size_t marks(std::uint64_t fingerprint) const;
    /// The remaining time of the request's quarantine; nothing when it isn't quarantined.
    [[nodiscard]] std::optional<std::chrono::milliseconds> quarantine_left(std::uint64_t fingerprint) const;

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace borageford::entry
