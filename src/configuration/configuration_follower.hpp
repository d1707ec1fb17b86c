// Keeps a process on the newest revision of the configuration: polls the head row in the platform's table,
// and accepts newer revisions from other processes, so that a revision also spreads while the table is down.
#pragma once

#include "base/timer_service.hpp"
#include "configuration/configuration.hpp"
#include "store/table.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string_view>

namespace borageford::configuration {

/// Holds the configuration in force in this process. Invariant: the revision never decreases, even if a read
/// of the table returns stale data or a peer sends an older revision. All member functions are safe to call
/// from any thread.
class configuration_follower {
public:
    using change_listener = std::function<void(const std::shared_ptr<const configuration>&)>;

    configuration_follower(boost::asio::any_io_executor executor, timer_service& timers, store::table& table,
                           std::chrono::milliseconds poll_period);
    ~configuration_follower();
    configuration_follower(const configuration_follower&) = delete;
    configuration_follower& operator=(const configuration_follower&) = delete;
    configuration_follower(configuration_follower&&) = delete;
    configuration_follower& operator=(configuration_follower&&) = delete;

    /// Starts polling. `changed` is called on the executor with the current configuration and then with each
    /// newer one, in increasing order of revisions.
    void start(change_listener changed);

    /// The configuration in force in this process; empty (revision 0) until one is known. Never null.
    [[nodiscard]] std::shared_ptr<const configuration> current() const noexcept;
    [[nodiscard]] revision_number revision() const noexcept;

    /// Number of polls of the head row that failed since the start of the process.
    [[nodiscard]] std::uint64_t failed_polls() const noexcept;
    /// Number of times since its start that this process found it had been suspended.
    [[nodiscard]] std::uint64_t freezes() const noexcept;

    /// Puts a revision in force that this process has committed to the table or read from it. Ignored unless
    /// it is newer and valid. Returns whether it was put in force.
    bool apply_committed(revision_number revision, std::string_view text);

    /// Puts a revision in force that a peer sent. Ignored unless it is newer and valid. Returns whether it
    /// was put in force.
    bool apply_from_peer(revision_number revision, std::span<const std::uint8_t> deflated_text);

    /// Waits until a revision above `revision` is in force in this process, at most for `limit`. Returns
    /// whether one is. For callers whose request a peer refused because the two processes had different
    /// revisions.
    boost::asio::awaitable<bool> wait_for_newer(revision_number revision, std::chrono::milliseconds limit);

    /// Polls the table now instead of at the next period, for example when a peer is known to have a newer
    /// revision but can't be asked for it.
    void poll_soon();

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace borageford::configuration
