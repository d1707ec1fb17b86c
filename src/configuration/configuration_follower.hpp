// Keeps a process at the newest configuration it can learn of: by polling the table's head, and from peers.
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

/// Invariant: the revision held only grows, whatever a stale read or a peer says.
/// All calls are safe from any thread.
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

    /// Starts to poll; `changed` is called on the executor with every newer configuration, in order.
    void start(change_listener changed);

    /// The configuration in force here; empty (revision 0) until one is known. Never null.
    [[nodiscard]] std::shared_ptr<const configuration> current() const noexcept;
    [[nodiscard]] revision_number revision() const noexcept;

    /// Polls of the head that failed, and freezes of the process that were noticed, since the start.
    [[nodiscard]] std::uint64_t failed_polls() const noexcept;
    [[nodiscard]] std::uint64_t freezes() const noexcept;

    /// Takes a revision that this process has committed or read at the table itself.
    bool take_committed(revision_number revision, std::string_view text);

    /// Takes what a peer sent; ignored unless it is newer and valid. Returns whether it was taken.
    bool take_from_peer(revision_number revision, std::span<const std::uint8_t> deflated_text);

    /// Waits until a revision above this one is in force here, or the limit has passed; returns whether one
    /// is. For a decision that was taken under a revision that a peer has left behind.
    boost::asio::awaitable<bool> wait_past(revision_number revision, std::chrono::milliseconds limit);

    /// Polls now: after a freeze, or when a peer is known to be ahead and can't be asked.
    void poll_soon();

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace borageford::configuration
