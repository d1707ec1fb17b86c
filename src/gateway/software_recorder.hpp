// Keeps a record in the store of the software versions that each service has, for gateways that start.
#pragma once

#include "base/timer_service.hpp"
#include "policy/software_history.hpp"
#include "store/table.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace borageford::gateway {

/// After all gateways were killed at once, none of them knows which versions have left since streams began
/// that callers now resume. So the coordinator records each version as soon as it shows up, and drops one
/// that it hasn't seen for as long as a caller may come back. A gateway that starts, or that may have missed
/// servers, reads the record once.
/// While each service has a single version, there is one write when the system starts for the first time.
class software_recorder {
public:
    struct environment {
        std::function<bool()> is_coordinating;
        std::function<std::uint64_t()> store_era;
    };

    /// `lifetime`: for how long a caller may come back. `is_first_start`: no process has run before this one,
    /// so nothing has to be read.
    software_recorder(boost::asio::any_io_executor executor, timer_service& timers, store::table& table,
                      policy::software_history& history, std::chrono::milliseconds lifetime,
                      bool is_first_start, environment surroundings);

    void start();

private:
    /// The row as it was last read or written.
    struct known_row {
        std::uint64_t era = 0;
        std::uint64_t version = 0; ///< 0: there is no row
        policy::software_versions versions;
    };

    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> update();
    boost::asio::awaitable<void> read();
    boost::asio::awaitable<void> write(policy::software_versions wanted);
    [[nodiscard]] policy::software_versions choose_versions();
    [[nodiscard]] policy::software_versions list_unknown() const;

    boost::asio::any_io_executor m_executor;
    timer_service& m_timers;
    store::table& m_table;
    policy::software_history& m_history;
    std::chrono::milliseconds m_lifetime;
    bool m_is_first_start;
    policy::time_point m_known_since; ///< the history's, when it was last looked at
    /// What was recorded before m_known_since is still unknown.
    bool m_must_read;
    policy::time_point m_next_read; ///< not before then, if a record wasn't there
    environment m_environment;
    std::optional<known_row> m_row;
    /// Since when the record has a version that this process doesn't see.
    std::map<std::pair<policy::service_key, policy::software_key>, policy::time_point> m_unseen;
};

} // namespace borageford::gateway
