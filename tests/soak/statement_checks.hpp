// Checks that gateways act on what servers say about themselves in their answers.
#pragma once

#include "emulator/retry_excess.hpp"
#include "emulator/server_statement.hpp"
#include "soak/disturbance_log.hpp"
#include "soak/promise_checks.hpp"
#include "soak/sent_request.hpp"

#include <map>
#include <string>
#include <vector>

namespace borageford::soak {

/// A server that has said something about itself.
struct stating_server {
    std::string name;
    std::vector<emulator::recorded_arrival> arrivals;
    std::vector<emulator::server_statement> statements;
};

/// Promise: a server gets no request that a caller sent to a gateway more than 2 s after that gateway had
/// passed on an answer that says that the server leaves. Excused by a restart or freeze of the gateway since
/// then. A request that names another server, which had the address before, isn't sent to this one.
[[nodiscard]] broken_promises check_leaving(const stating_server& server,
                                            const std::map<std::string, const sent_request*>& sent,
                                            const disturbance_log& disturbances);

/// Promise: a server gets at most two requests from a gateway between half a second after it has turned that
/// gateway away and the end of the pause that it asked for. Excused by a restart or freeze of the gateway,
/// and by a disturbance of the connections to servers, which may delay or lose the answer.
[[nodiscard]] broken_promises check_pauses(const stating_server& server,
                                           const std::map<std::string, const sent_request*>& sent,
                                           const disturbance_log& disturbances);

} // namespace borageford::soak
