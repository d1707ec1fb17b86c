// State shared by the parts of a gateway. All of them run on one thread's executor.
#pragma once

#include "base/snapshot.hpp"
#include "base/timer_service.hpp"
#include "coordination/slot_broker.hpp"
#include "gateway/gateway_settings.hpp"
#include "policy/unread_memory.hpp"
#include "routing/header_names.hpp"
#include "routing/routing_table.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <set>

namespace borageford::gateway {

class answer_reader;
class backend_directory;
class gateway_metrics;
class client_session;
class crash_watch;
class rate_limit_reader;

/// The configuration in force; null until the first one is known.
using routing_snapshot = snapshot<std::shared_ptr<const routing::routing_table>>;

/// How long a process that is shutting down accepts new requests, and when it exits.
struct stop_times {
    /// Every request is accepted until this time; afterwards only those whose deadline isn't later
    /// than ends_at.
    std::chrono::steady_clock::time_point accepts_all_until;
    /// The process exits then at the latest.
    std::chrono::steady_clock::time_point ends_at;
};

/// References to the parts of a gateway that request handling needs, and its counters.
struct gateway_context {
    boost::asio::any_io_executor executor;
    timer_service& timers;
    const gateway_settings& settings;
    const routing::header_names& fields;
    routing_snapshot& configuration;
    backend_directory& backends;
    coordination::slot_broker& slots;
    gateway_metrics& metrics;
    rate_limit_reader& rate_limits;
    answer_reader& answers;
    crash_watch& crashes;
    policy::unread_memory& unread;
    /// Called when a slot was granted at a server that is unknown here.
    std::function<void()> on_unknown_server{};
    std::set<client_session*> sessions{}; ///< All open connections of callers.
    std::size_t requests_in_progress = 0;
    /// Set once this process was told to stop. From then on, each answer closes its connection.
    std::optional<stop_times> stopping{};

    [[nodiscard]] bool is_stopping() const noexcept { return stopping.has_value(); }
};

} // namespace borageford::gateway
