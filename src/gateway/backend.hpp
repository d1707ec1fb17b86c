// A backend server as seen by a gateway: its registration, its idle connections and the calls that run on it.
#pragma once

#include "gateway/server_connection.hpp"
#include "net/connection.hpp"
#include "routing/backend_record.hpp"

#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace borageford::gateway {

class backend_call;

/// Represents one start of a server. A server that restarts under the same id is represented by a new object.
class backend : public std::enable_shared_from_this<backend> {
public:
    using clock = std::chrono::steady_clock;

    explicit backend(routing::backend_record record);

    [[nodiscard]] const routing::backend_record& record() const noexcept { return m_record; }
    /// Replaces the record with a newer one of the same start. Closes the idle connections if the address has
    /// changed.
    void set_record(routing::backend_record record);

    /// Returns the most recently used idle connection that may carry a request with this id, if it has been
    /// idle for at most `max_idle`; else nothing.
    [[nodiscard]] std::optional<server_connection> take_idle(std::string_view request_id,
                                                             clock::duration max_idle);

    /// Keeps an open connection for the next request, for at most `keep`. Calls `on_end` if the server closes
    /// it before that.
    void keep_idle(server_connection connection, clock::duration keep, std::function<void()> on_end = [] {});

    void close_idle();
    /// Closes the idle connections whose keep time is over.
    void close_expired(clock::time_point now);

    /// Registers a running call, so that retire() can notify it. The call removes itself when it ends.
    void add_call(const std::shared_ptr<backend_call>& call);
    void remove_call(const backend_call* call);

    /// Records that a connection to the server failed or couldn't be opened, which may mean that the server
    /// has ended.
    void record_connection_failure() noexcept { m_last_connection_failure = clock::now(); }
    /// Time of the last failed connection to this start; the clock's minimum when none has failed.
    [[nodiscard]] clock::time_point last_connection_failure() const noexcept {
        return m_last_connection_failure;
    }

    /// Records a sign that the server lives: it has accepted a connection, or sent bytes.
    void record_life() noexcept { m_last_life = clock::now(); }
    /// Time of the last such sign; the clock's minimum when there was none.
    [[nodiscard]] clock::time_point last_life() const noexcept { return m_last_life; }
    /// Whether the server is registered. A server that is no longer registered may go on serving what it
    /// has.
    [[nodiscard]] bool is_registered() const noexcept { return m_is_registered; }
    void record_removal() noexcept { m_is_registered = false; }

    /// The server wants no requests of this process until `until`; a later end that it asked for before
    /// stays.
    void back_off(clock::time_point until) noexcept { m_backoff_end = std::max(m_backoff_end, until); }
    /// When the server wants requests of this process again; nothing if it does now.
    [[nodiscard]] std::optional<clock::time_point> backoff_end() const noexcept {
        return m_backoff_end > clock::now() ? std::optional(m_backoff_end) : std::nullopt;
    }

    /// The server has restarted: closes the idle connections and notifies the running calls.
    void retire();

private:
    struct idle_connection {
        server_connection connection;
        clock::time_point since;
        clock::time_point until;
    };

    void drop_idle(const net::connection* ended);

    routing::backend_record m_record;
    /// In the order of their last use; the most recently used one is last.
    std::vector<idle_connection> m_idle;
    std::unordered_map<const backend_call*, std::weak_ptr<backend_call>> m_calls;
    clock::time_point m_last_connection_failure = clock::time_point::min();
    clock::time_point m_last_life = clock::time_point::min();
    clock::time_point m_backoff_end = clock::time_point::min();
    bool m_is_registered = true;
    bool m_is_retired = false; ///< Once set, no connection is kept.
};

} // namespace borageford::gateway
