// What one process has seen of one backend server, in the form that it tells to another process.
#pragma once

#include "policy/slot_request.hpp"

namespace borageford::policy {

/// Told by server key, so a server that starts anew inherits nothing. Numbers that aren't known are 0.
struct server_report {
    server_key server = 0;
    duration failed_ago = duration::max(); ///< since a request failed there last; max(): not lately
    duration rest_left{};                  ///< until it is tried again
    unsigned rests = 0;                    ///< taken since it served a request last
    double first_event_ms = 0;             ///< of an empty prompt
    double first_event_ms_per_token = 0;   ///< for each token of a prompt
    unsigned first_events = 0;             ///< that these two were learned from
    double seconds_per_token = 0;          ///< of output
    double seconds_between_ends = 0;       ///< of its requests, while all of its slots are taken
};

} // namespace borageford::policy
