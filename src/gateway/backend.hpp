// One backend server as a gateway sees it: where it is, and the connections to it that are free.
#pragma once

#include "net/connection.hpp"
#include "routing/backend_record.hpp"

#include <chrono>
#include <memory>
#include <unordered_map>
#include <vector>

namespace borageford::gateway {

class backend_call;

/// One start of a server: a server that starts anew under its old id is another one.
class backend : public std::enable_shared_from_this<backend> {
public:
    using clock = std::chrono::steady_clock;

    explicit backend(routing::backend_record record);

    [[nodiscard]] const routing::backend_record& record() const noexcept { return m_record; }
    /// The same start's newer word of itself.
    void set_record(routing::backend_record record);

    /// The connection that was used last, if it is idle for less than `longest_idle`; null when there is
    /// none.
    [[nodiscard]] std::shared_ptr<net::connection> take_idle(clock::duration longest_idle);

    /// Keeps a connection for the next request, at most for `keep`.
    void give_back(std::shared_ptr<net::connection> connection, clock::duration keep);

    void close_idle();
    /// Closes the idle connections whose time is over.
    void close_expired(clock::time_point now);

    /// A call runs here, until it is removed.
    void add_call(const std::shared_ptr<backend_call>& call);
    void remove_call(const backend_call* call);

    /// A connection failed or couldn't be made: the server may have ended.
    void note_break() noexcept { m_last_break = clock::now(); }
    /// Of this start; the clock's minimum when none was seen.
    [[nodiscard]] clock::time_point last_break() const noexcept { return m_last_break; }

    /// The server has started anew: its idle connections are closed, and its calls are told.
    void retire();

private:
    struct idle_connection {
        std::shared_ptr<net::connection> connection;
        clock::time_point since;
        clock::time_point until;
    };

    void forget(const net::connection* ended);

    routing::backend_record m_record;
    std::vector<idle_connection> m_idle; ///< the last one was used last
    std::unordered_map<const backend_call*, std::weak_ptr<backend_call>> m_calls;
    clock::time_point m_last_break = clock::time_point::min();
    bool m_is_retired = false; ///< then no connection is kept any more
};

} // namespace borageford::gateway
