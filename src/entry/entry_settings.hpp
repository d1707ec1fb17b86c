// The settings of an entry process: addresses on which it listens, limits and timeouts.
#pragma once

#include "http/server.hpp"
#include "policy/placement.hpp"
#include "process/common_settings.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace borageford::entry {

using std::chrono::milliseconds;

/// The contents of an entry's settings file. Most members are settings of its section [entry].
struct entry_settings {
    process::common_settings common;
    boost::asio::ip::tcp::endpoint callers_listen;
    boost::asio::ip::tcp::endpoint admin_listen;
    boost::asio::ip::tcp::endpoint peers_listen; ///< for other entries, which request revisions here
    std::string admin_token_hash;                ///< SHA-256 of the operators' token, 64 hexadecimal digits
    std::size_t answer_memory = 0;  ///< memory for answers that are held, in bytes; follows from memory_limit
    std::uint64_t memory_limit = 0; ///< memory that this process may use, in bytes; 0: the machine's
    http::server_limits callers;
    http::server_limits operators; ///< of the administration address
    policy::placement_policy placement;
    milliseconds default_deadline{60000}; ///< time to the request's start when its caller sends no deadline
    milliseconds fate_limit{10000};       ///< how long sidecars are asked for the fate of a lost dispatch
    milliseconds connect_limit{1000};     ///< timeout for connecting to a sidecar
    milliseconds idle_connection{30000};  ///< idle time after which a connection to a sidecar is closed
    milliseconds claim_window{3};         ///< claims made within this time share a transaction
    milliseconds claim_limit{2000};       ///< timeout of a claim, after which the call is refused as not run
    milliseconds claim_retention{std::chrono::hours(24)}; ///< minimum time for which a claim is kept
    milliseconds claim_sweep_period{60000};               ///< time between two sweeps of claim_sweeper
    milliseconds stop_limit{600000}; ///< a graceful stop aborts requests that run longer than this
    std::size_t answer_limit = 16U * 1024 * 1024; ///< maximum bytes of a buffered (not streamed) answer
};

/// Reads and checks all settings of the file. Errors are appended to `problems`.
[[nodiscard]] entry_settings read_entry_settings(const settings::ini_document& document,
                                                 std::vector<settings::problem>& problems);

} // namespace borageford::entry
