// One backend server as a gateway sees it: where it is, and the connections to it that are free.
#pragma once

#include "net/connection.hpp"
#include "routing/backend_record.hpp"

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace borageford::gateway {

class backend : public std::enable_shared_from_this<backend> {
public:
    using clock = std::chrono::steady_clock;

    explicit backend(routing::backend_record record);

    [[nodiscard]] const routing::backend_record& record() const noexcept { return m_record; }
    void set_record(routing::backend_record record) { m_record = std::move(record); }

    /// The connection that was used last, if it is idle for less than `longest_idle`; null when there is
    /// none.
    [[nodiscard]] std::shared_ptr<net::connection> take_idle(clock::duration longest_idle);

    /// Keeps a connection for the next request, at most for `keep`.
    void give_back(std::shared_ptr<net::connection> connection, clock::duration keep);

    void close_idle();

private:
    struct idle_connection {
        std::shared_ptr<net::connection> connection;
        clock::time_point since;
        clock::time_point until;
    };

    void forget(const net::connection* ended);
    void close_expired(clock::time_point now);

    routing::backend_record m_record;
    std::vector<idle_connection> m_idle; ///< the last one was used last
};

} // namespace borageford::gateway
