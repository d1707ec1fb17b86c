// The promises of the gateways that a soak checks against the records of callers and backend servers. Each
// check is a pure function that returns one line for each violation, and nothing when the promise was kept.
#pragma once

#include "emulator/fatal_record.hpp"
#include "emulator/rate_limit_excess.hpp"
#include "emulator/retry_excess.hpp"
#include "soak/disturbance_log.hpp"
#include "soak/sent_request.hpp"

#include <chrono>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace borageford::soak {

using broken_promises = std::vector<std::string>;

/// The number of runs of each request, by request id.
using run_counts = std::map<std::string, std::size_t>;

[[nodiscard]] run_counts count_runs(std::span<const server_run> runs);

/// The run that made a successful answer, according to the answer's signature; null when there is no such
/// run.
using answer_maker = const server_run*;

/// Promise: a successful answer comes from a run of the same request. The events of a stream arrive in order
/// and once each, and a stream that ends as complete has all its events. All of them, also those that earlier
/// requests of the caller have brought, are written by one software version.
[[nodiscard]] broken_promises check_answer(const sent_request& request, answer_maker made_by);

/// Promise: a request that may run only once runs at most once, and a request that was refused with a status
/// that means "not run" has not run.
[[nodiscard]] broken_promises check_runs(const sent_request& request, std::size_t runs);

/// Promise: a request that the gateway received gets a final answer in time, unless the gateway was killed or
/// frozen, the caller disconnected, or the caller couldn't connect. A request without a run is excused when
/// it was sent on a reused connection, or to a stopping gateway: it may have been sent while the gateway was
/// closing the connection.
[[nodiscard]] broken_promises check_final_answer(const sent_request& request, std::size_t runs,
                                                 const disturbance_log& disturbances);

/// Promise: a request that every configuration allows is never answered with 400, 401, 403 or 404.
[[nodiscard]] broken_promises check_allowed(const sent_request& request);

/// Promise: a gateway process that has served a route once never answers later that it doesn't exist; this
/// would mean that the gateway went back to an older configuration.
[[nodiscard]] broken_promises check_configuration_order(std::span<const sent_request> requests);

/// Promise: requests that crash servers stop reaching servers, 3 s after this many crashes, but for a few.
/// When all gateways are killed at once, at the times `all_lost`, nobody knows of the crashes any more, so
/// that they are counted anew from there.
[[nodiscard]] broken_promises check_fatal(const std::string& what, const emulator::fatal_record& record,
                                          std::size_t crashes, std::vector<clock::time_point> all_lost);

/// A change of the service of the route "moving", and when it was written into the store.
struct route_move {
    clock::time_point at;
    std::string service;
};

/// Promise: a request on the route "moving" runs at a server of a service that the route had shortly before
/// the request was sent, or later. Excused when a disturbance kept a gateway from receiving the change.
/// `moves` are in order of time; the first one is the route's service at the soak's begin.
[[nodiscard]] broken_promises check_moves_in_time(const sent_request& request, const server_run& run,
                                                  std::span<const route_move> moves,
                                                  const disturbance_log& disturbances);

/// Promise: every run has the id, target, body and workspace of a request that a caller sent, and is at a
/// server of the service of the request's route. `sent` is by request id.
[[nodiscard]] broken_promises check_origin(const server_run& run,
                                           const std::map<std::string, const sent_request*>& sent);

/// Promise: a request doesn't begin to run after its caller has disconnected, except shortly afterwards, when
/// it was already being granted or sent. A run that begins later is allowed only if its bytes were held back
/// on their way, and the gateway had sent all of them, and closed the connection, within the same time.
[[nodiscard]] broken_promises check_disconnected(const sent_request& request,
                                                 std::span<const server_run> runs,
                                                 std::span<const held_delivery> held,
                                                 const disturbance_log& disturbances);

/// A server that has announced that it drains, and when.
struct draining_server {
    std::string id;
    clock::time_point announced;
};

/// Promise: a draining server gets no new requests once the gateways have had time to read its row from the
/// store. Excused when a disturbance of the store, a gateway or the connections to a server could delay that.
[[nodiscard]] broken_promises check_draining(const draining_server& server, std::span<const server_run> runs,
                                             const disturbance_log& disturbances);

/// A server that has named rate limits.
struct limited_server {
    std::string id;
    std::vector<clock::time_point> arrivals;
    std::vector<emulator::named_limit> named;
};

/// Promise: a server gets no more requests than the rate limit that it names allows, from all gateways
/// together. Excused when all gateways were killed, as then nobody knows the limit until the server has
/// answered again.
[[nodiscard]] broken_promises check_rate_limit(const limited_server& server,
                                               const disturbance_log& disturbances);

/// A limit on the number of events in any window of time, over all gateways together.
struct window_limit {
    std::chrono::milliseconds window{0};
    double most = 0;
};

/// Promise: no window has more events than its limit. Returns the first window that does; `what` names the
/// events in the message.
[[nodiscard]] broken_promises check_window(const std::string& what, std::vector<clock::time_point> events,
                                           const window_limit& limit);

/// Promise: in no window does a service get more retries than the terms allow, over all gateways together.
/// `sent` is when callers sent the requests that may go to the service.
[[nodiscard]] broken_promises check_retries(const std::string& service,
                                            std::vector<emulator::recorded_arrival> arrivals,
                                            std::vector<clock::time_point> sent,
                                            const emulator::retry_terms& terms);

} // namespace borageford::soak
