// Notices the crashes of backend servers, and which requests of this gateway may have caused them.
#pragma once

#include "base/timer_service.hpp"
#include "coordination/slot_broker.hpp"
#include "gateway/backend.hpp"
#include "gateway/liveness_watch.hpp"
#include "policy/crash_suspects.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <unordered_map>
#include <vector>

namespace borageford::gateway {

/// A request that may crash servers is found even if nobody else sends anything to a server that has
/// crashed: when a request ends there without an answer, this class opens a connection to the server at once.
/// A refused connection shows that the server is gone. One that takes too long shows nothing, since the
/// network between the two may have failed. Belongs to one thread's executor.
class crash_watch {
public:
    using clock = std::chrono::steady_clock;
    using suspects = std::span<const policy::crash_suspect>;

    crash_watch(boost::asio::any_io_executor executor, timer_service& timers,
                coordination::slot_broker& slots);

    /// The connection to a server broke before it had answered the request, or ended with the answer. Calls
    /// `on_checked` once it is known whether the server still accepts connections, or after a short time.
    void record_broken(const std::shared_ptr<backend>& server, suspects ended,
                       std::function<void()> on_checked);
    /// Begins to watch a server that has begun an answer without a length. Answers that run at the same time
    /// share the watch.
    [[nodiscard]] std::shared_ptr<liveness_watch> watch(const std::shared_ptr<backend>& server);
    /// A server has ended its connection after such an answer, as the system also does for a process that was
    /// killed. Calls `on_checked` with whether the server has outlived the answer, as far as the watch
    /// tells.
    void check_alive(const std::shared_ptr<backend>& server, const std::shared_ptr<liveness_watch>& liveness,
                     std::function<void(bool)> on_checked);
    /// The caller of a request left, or its deadline passed, before the server had answered it. It was sent
    /// at `sent`.
    void record_abandoned(const std::shared_ptr<backend>& server, suspects ended, clock::time_point sent);

    // Signs that a start of a server has ended. All of them do nothing for a server that leaves.

    /// It refused a connection, another server answers at its address, or it has registered anew.
    void record_crash(const backend& server);
    /// Another gateway has said that it crashed.
    void record_crash_elsewhere(policy::server_key server);
    /// Its registration was removed although it hadn't announced that it drains.
    void record_removal(const backend& server);

    /// A server has sent a response on a connection that was opened at `opened`.
    void record_alive(const backend& server, clock::time_point opened);
    void record_leaving(policy::server_key server);

private:
    /// A connection that is being opened to find out whether a server accepts it.
    struct check {
        std::shared_ptr<boost::asio::ip::tcp::socket> socket;
        timer_subscription timeout;
        timer_subscription patience;
        std::vector<std::function<void()>> waiting;
    };

    void plan_check(const std::shared_ptr<backend>& server);
    void begin_check(const std::shared_ptr<backend>& server);
    void end_check(policy::server_key key, const std::shared_ptr<backend>& server,
                   const boost::system::error_code& error);
    void wait_for_check(const std::shared_ptr<backend>& server, std::function<void()> on_checked);
    void release_waiting(policy::server_key key);
    void report(const backend& server, suspects marked, std::string_view sign);

    boost::asio::any_io_executor m_executor;
    timer_service& m_timers;
    coordination::slot_broker& m_slots;
    policy::crash_suspects m_suspects;
    std::unordered_map<policy::server_key, check> m_checks; ///< the running ones
    /// Checks that begin later, see plan_check().
    std::unordered_map<policy::server_key, timer_subscription> m_planned;
    std::unordered_map<const backend*, std::weak_ptr<liveness_watch>> m_watches;
};

} // namespace borageford::gateway
