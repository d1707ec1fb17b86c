// The promises that a soak checks, against what callers and backend servers have seen. Pure: each check reads
// records and returns what breaks a promise, one line each.
#pragma once

#include "soak/disturbance_log.hpp"
#include "soak/sent_request.hpp"

#include <chrono>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace borageford::soak {

using broken_promises = std::vector<std::string>;

/// How often each request has run.
using run_counts = std::map<std::string, std::size_t>;

[[nodiscard]] run_counts count_runs(std::span<const server_run> runs);

/// Who made a successful answer: the run that its signature names, or null.
using answer_maker = const server_run*;

/// A success is the whole answer of a run of this very request; the events of a stream come in order, each
/// once, and one that ends as complete has its last event.
[[nodiscard]] broken_promises check_answer(const sent_request& request, answer_maker made_by);

/// What may run once ran once at most, and a refusal that says "not run" is true.
[[nodiscard]] broken_promises check_runs(const sent_request& request, std::size_t runs);

/// A request that a process has passed on gets a final answer, in its time, unless the process was killed or
/// frozen. What crosses the close of a kept connection and wasn't passed on doesn't count.
[[nodiscard]] broken_promises check_final_answer(const sent_request& request, std::size_t runs,
                                                 const disturbance_log& disturbances);

/// What every configuration allows is never called unknown or forbidden.
[[nodiscard]] broken_promises check_allowed(const sent_request& request);

/// Within one process, a route that it has served once is there from then on.
[[nodiscard]] broken_promises check_configuration_order(std::span<const sent_request> requests);

/// The service that the moving route leads to from a time on.
struct route_move {
    clock::time_point at;
    std::string service;
};

/// A request on the moving route runs where the route leads, or led shortly before it was sent, once a
/// process that could hear of it had time. `moves` are in their order; the first is there from the start.
[[nodiscard]] broken_promises check_moves_in_time(const sent_request& request, const server_run& run,
                                                  std::span<const route_move> moves,
                                                  const disturbance_log& disturbances);

/// Every run is of a request that a caller sent, unchanged, at a service that its route leads to.
[[nodiscard]] broken_promises check_origin(const server_run& run,
                                           const std::map<std::string, const sent_request*>& sent);

/// Nothing begins to reach a server after a caller has left, but for what was under way.
[[nodiscard]] broken_promises check_left(const sent_request& request, std::span<const server_run> runs,
                                         const disturbance_log& disturbances);

/// A server that has announced that it leaves.
struct leaving_server {
    std::string id;
    clock::time_point announced;
};

/// A leaving server gets nothing new, once the store's word and a process that could hear it had time.
[[nodiscard]] broken_promises check_leaving(const leaving_server& leaving, std::span<const server_run> runs,
                                            const disturbance_log& disturbances);

/// What runs over all gateways together in any window.
struct window_limit {
    std::chrono::milliseconds window{0};
    double most = 0;
};

/// The first window that has more than its limit.
[[nodiscard]] broken_promises check_window(const std::string& what, std::vector<clock::time_point> events,
                                           const window_limit& limit);

} // namespace borageford::soak
