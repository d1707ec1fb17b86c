// What one process has learned about one backend server, as it is sent to another process.
#pragma once

#include "policy/slot_request.hpp"

namespace borageford::policy {

/// A report is assigned to a server by the server's key. A server that starts again has a new key, so reports
/// on its previous start don't apply to it. Values that aren't known are 0, unless stated otherwise.
struct server_report {
    server_key server = 0;
    duration failed_ago = duration::max(); ///< time since the last failed request; max(): none failed
    duration cooldown_left{};              ///< time until the server's cooldown ends
    unsigned rests = 0;                    ///< cooldowns since the last successful request
    double first_event_ms = 0;             ///< time to the first event of an empty prompt
    double first_event_ms_per_token = 0;   ///< additional time for each token of the prompt
    unsigned first_events = 0;       ///< number of requests from which the two values above were learned
    double seconds_per_token = 0;    ///< time per output token
    double seconds_between_ends = 0; ///< time between the ends of two requests while all slots are in use
};

} // namespace borageford::policy
