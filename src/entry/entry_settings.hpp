// The settings of an entry: where callers and operators reach it, its bounds and its patience.
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

struct entry_settings {
    process::common_settings common;
    boost::asio::ip::tcp::endpoint callers_listen;
    boost::asio::ip::tcp::endpoint admin_listen;
    boost::asio::ip::tcp::endpoint peers_listen; ///< for other entries: revisions
    std::string admin_token_hash;                ///< SHA-256 of the operators' token, hexadecimal
    http::server_limits callers;
    policy::placement_policy placement;
    milliseconds default_deadline{60000}; ///< to the start of the request, when its caller names none
    milliseconds fate_limit{10000};       ///< how long the fate of a started request is asked for
    milliseconds connect_limit{1000};     ///< to a sidecar
    milliseconds idle_connection{30000};  ///< a connection to a sidecar without work is closed after this
    milliseconds claim_window{3};         ///< claims of idempotency keys within it share a transaction
    milliseconds claim_limit{2000};       ///< a claim that takes longer is given up: not run
    milliseconds claim_retention{std::chrono::hours(24)}; ///< a key counts as taken for at least this long
    milliseconds claim_sweep_period{60000};               ///< between two pages of claims read for old ones
    milliseconds stop_limit{600000};                      ///< a graceful stop ends what still runs after this
    std::size_t answer_limit = 16U * 1024 * 1024;         ///< bytes of one answer held for a caller
};

/// Reads and checks the whole file; complaints go to `problems`.
[[nodiscard]] entry_settings read_entry_settings(const settings::ini_document& document,
                                                 std::vector<settings::problem>& problems);

} // namespace borageford::entry
