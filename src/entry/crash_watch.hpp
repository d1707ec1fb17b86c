// Knows which requests were running when backend servers died: from sidecars at once, and from the platform's
// table, where sidecars write every mark before they tell of the failure.
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

/// Thread-safe.
class crash_watch {
public:
    crash_watch(boost::asio::any_io_executor executor, timer_service& timers, store::table& table);
    ~crash_watch();
    crash_watch(const crash_watch&) = delete;
    crash_watch& operator=(const crash_watch&) = delete;
    crash_watch(crash_watch&&) = delete;
    crash_watch& operator=(crash_watch&&) = delete;

    /// Starts to read the marks at the table at this period.
    void start(std::chrono::milliseconds period);

    /// A sidecar told of a mark. Returns whether it is news: the same one comes from several peers.
    bool take(const wire::crash_mark_message& mark);

    /// Backend servers known to have died while this request ran.
    [[nodiscard]] std::size_t marks(std::uint64_t fingerprint) const;
    /// The time left when the request is quarantined; nothing otherwise.
    [[nodiscard]] std::optional<std::chrono::milliseconds> quarantine_left(std::uint64_t fingerprint) const;

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace borageford::entry
