// Implements the checks, one function for each promise.
#include "soak/promise_checks.hpp"

#include "emulator/event_text.hpp"
#include "routing/not_run_status.hpp"

#include <algorithm>
#include <cctype>
#include <set>
#include <string_view>

namespace borageford::soak {

using std::chrono::milliseconds;

namespace {

constexpr unsigned bad_request = 400;
constexpr unsigned unauthorized = 401;
constexpr unsigned forbidden = 403;
constexpr unsigned not_found = 404;
constexpr unsigned first_success = 200;
constexpr unsigned first_redirect = 300;

/// A gateway may still send a request shortly after its caller disconnected, because it was already being
/// granted or sent. A request that is sent, or a run that begins, later than this is a fault.
constexpr milliseconds leave_limit{2000};
/// How long after its announcement a draining server may still get new requests. The gateways' settings allow
/// two seconds, which are doubled here to allow for a busy machine.
constexpr milliseconds drain_limit{4000};
/// How long a gateway that was frozen or disconnected from the store needs to receive the changes that it
/// missed.
constexpr milliseconds catch_up{4000};
/// The time in which every gateway applies a moved route, doubled to allow for a busy machine.
constexpr milliseconds configuration_limit{4000};
/// How long after the delivery of its bytes a run may begin, and how long after the bytes the end of their
/// connection may be delivered. Long enough for a busy machine.
constexpr milliseconds delivery_slack{500};
/// Answers that one gateway gives concurrently may reach the callers in another order within this time.
constexpr milliseconds order_slack{250};

bool is_success(unsigned status) {
    return status >= first_success && status < first_redirect;
}

/// The text of the events of a stream of an emulated engine that a request should have received.
std::string expected_events(const sent_request& request, std::string_view software) {
    std::string text;
    const auto last = request.received_before + request.result.events;
    for (auto number = request.received_before + 1; number <= last; ++number) {
        text += emulator::describe_event(number, software, request.padding);
    }
    return text;
}

/// The software versions that wrote the events of a stream, as far as this request and those before it have
/// brought them.
std::set<std::string, std::less<>> software_of(const sent_request& request) {
    auto result = emulator::software_in(request.result.event_text);
    if (!request.software_before.empty()) {
        result.insert(request.software_before);
    }
    return result;
}

std::string describe(const sent_request& request) {
    return "request " + request.id + " (" + request.target + ", gateway " + std::to_string(request.gateway) +
           ", status " + std::to_string(request.result.status) + ")";
}

/// Such as "-12 ms after".
std::string after(clock::time_point begin, clock::time_point time) {
    return std::to_string(std::chrono::duration_cast<milliseconds>(time - begin).count()) + " ms after";
}

/// What the proxy saw of a held unit, with times since `begin`.
std::string describe(const test::held_unit& unit, clock::time_point begin) {
    auto text = "; sent " + after(begin, unit.received) + ", held, delivered " +
                after(begin, unit.forwarded) + ", connection ";
    if (!unit.end.has_value()) {
        return text + "not closed";
    }
    return text + (unit.end->kind == test::cut_kind::end ? "closed " : "reset ") +
           after(begin, unit.end->at) + ", which was delivered " + after(begin, unit.end_forwarded);
}

/// True if these bytes contain this request's id.
bool contains_request(std::string_view bytes, std::string_view id) {
    for (auto at = bytes.find(id); at != std::string_view::npos; at = bytes.find(id, at + 1)) {
        const auto next = at + id.size();
        if (next == bytes.size() || !std::isdigit(static_cast<unsigned char>(bytes[next]))) {
            return true;
        }
    }
    return false;
}

/// The held pieces whose delivery may have begun this run.
std::vector<test::held_unit> deliveries_of(const server_run& run, std::span<const held_delivery> held) {
    std::vector<test::held_unit> result;
    for (const auto& [server_id, unit] : held) {
        const auto difference = run.begun - unit.forwarded;
        const bool is_at_that_time = difference <= delivery_slack && difference >= -delivery_slack;
        if (server_id == server_id_of(run.server) && is_at_that_time &&
            contains_request(unit.bytes, run.request_id)) {
            result.push_back(unit);
        }
    }
    return result;
}

/// True if the gateway had sent these bytes and closed the connection by `limit`, and the server learned of
/// the close right after the bytes.
bool is_sent_in_time(const test::held_unit& unit, clock::time_point limit) {
    return unit.received <= limit && unit.end.has_value() && unit.end->at <= limit &&
           unit.end_forwarded <= unit.forwarded + delivery_slack;
}

} // namespace

run_counts count_runs(std::span<const server_run> runs) {
    run_counts result;
    for (const auto& run : runs) {
        ++result[run.request_id];
    }
    return result;
}

broken_promises check_answer(const sent_request& request, answer_maker made_by) {
    broken_promises broken;
    const auto& result = request.result;
    const auto software = request.is_stream ? software_of(request) : std::set<std::string, std::less<>>();
    if (software.size() > 1) {
        broken.push_back(describe(request) + ": its stream has events of several software versions");
    } else if (request.is_stream &&
               result.event_text != expected_events(request, software.empty() ? "" : *software.begin())) {
        broken.push_back(describe(request) + ": events are missing, doubled or changed");
    }
    if (!is_success(result.status)) {
        return broken;
    }
    if (made_by == nullptr) {
        broken.push_back(describe(request) + ": a success that no backend server made");
    } else if (made_by->request_id != request.id) {
        broken.push_back(describe(request) + ": has the answer to " + made_by->request_id);
    }
    const auto events = request.received_before + result.events;
    if (request.is_stream && result.is_complete && events != request.output_tokens) {
        broken.push_back(describe(request) + ": ends as complete after " + std::to_string(events) +
                         " events of " + std::to_string(request.output_tokens));
    }
    return broken;
}

broken_promises check_runs(const sent_request& request, std::size_t runs) {
    broken_promises broken;
    if (!request.is_idempotent && runs > 1) {
        broken.push_back(describe(request) + ": may run once and ran " + std::to_string(runs) + " times");
    }
    if (routing::says_not_run(request.result.status) && runs > 0) {
        broken.push_back(describe(request) + ": was told that it had not run, and ran");
    }
    return broken;
}

broken_promises check_final_answer(const sent_request& request, std::size_t runs,
                                   const disturbance_log& disturbances) {
    const bool was_down = disturbances.has(disturbance_kind::gateway_down, request.gateway, request.sent,
                                           request.ended + catch_up);
    const bool was_stopping =
        disturbances.has(disturbance_kind::gateway_stopping, request.gateway, request.sent, request.ended);
    if (was_down || request.end == caller_end::disconnected) {
        return {};
    }
    if (request.end == caller_end::unanswered) {
        return was_stopping ? broken_promises{}
                            : broken_promises{describe(request) + ": no final answer in its time"};
    }
    const bool is_answered = request.result.status != 0 || !request.result.has_connected;
    const bool may_have_crossed = runs == 0 && (request.result.reused_connection || was_stopping);
    if (is_answered || may_have_crossed) {
        return {};
    }
    return {describe(request) + ": its connection ended without an answer after " + std::to_string(runs) +
            " runs"};
}

broken_promises check_allowed(const sent_request& request) {
    const auto status = request.result.status;
    const bool is_denied =
        status == bad_request || status == unauthorized || status == forbidden || status == not_found;
    if (!is_denied || !request.is_in_every_configuration) {
        return {};
    }
    return {describe(request) + ": denied though every configuration allows it"};
}

broken_promises check_configuration_order(std::span<const sent_request> requests) {
    struct place {
        std::size_t gateway;
        unsigned start_count;
        std::string target;
        auto operator<=>(const place&) const = default;
    };
    std::map<place, clock::time_point> served;
    for (const auto& request : requests) {
        if (is_success(request.result.status) && request.is_same_process) {
            auto& since = served
                              .try_emplace({request.gateway, request.gateway_start_count, request.target},
                                           request.ended)
                              .first->second;
            since = std::min(since, request.ended);
        }
    }
    broken_promises broken;
    for (const auto& request : requests) {
        const auto found = served.find({request.gateway, request.gateway_start_count, request.target});
        const bool is_later = found != served.end() && request.sent > found->second + order_slack;
        if (is_later && request.is_same_process && request.result.status == not_found) {
            broken.push_back(describe(request) + ": unknown to a process that had served it before");
        }
    }
    return broken;
}

broken_promises check_fatal(const std::string& what, const emulator::fatal_record& record,
                            std::size_t crashes, std::vector<clock::time_point> all_lost) {
    broken_promises broken;
    all_lost.insert(all_lost.begin(), clock::time_point::min());
    all_lost.push_back(clock::time_point::max());
    for (std::size_t index = 0; index + 1 < all_lost.size(); ++index) {
        const auto known = record.between(all_lost[index], all_lost[index + 1]);
        const auto late = known.count_late(crashes);
        if (late > emulator::tolerated_late_arrivals) {
            broken.push_back(what + " crashed " + std::to_string(known.crashes.size()) +
                             " servers and reached servers " + std::to_string(late) +
                             " times later than 3 s after crash " + std::to_string(crashes));
        }
    }
    return broken;
}

broken_promises check_moves_in_time(const sent_request& request, const server_run& run,
                                    std::span<const route_move> moves, const disturbance_log& disturbances) {
    const auto from = request.sent - configuration_limit;
    for (std::size_t move = 0; move < moves.size(); ++move) {
        const bool was_over = move + 1 < moves.size() && moves[move + 1].at < from;
        const bool had_begun = moves[move].at <= run.begun;
        if (had_begun && !was_over && moves[move].service == run.service) {
            return {};
        }
    }
    const auto since = request.sent - catch_up;
    const bool is_excused = disturbances.has(disturbance_kind::store, request.gateway, since, run.begun) ||
                            disturbances.has(disturbance_kind::gateway_down, std::nullopt, since, run.begun);
    if (is_excused) {
        return {};
    }
    return {describe(request) + ": ran at " + run.service + ", from where its route had moved long before"};
}

broken_promises check_origin(const server_run& run, const std::map<std::string, const sent_request*>& sent) {
    const auto found = sent.find(run.request_id);
    if (found == sent.end()) {
        return {"server " + run.server + " ran " + run.request_id + ", which no caller sent"};
    }
    const auto& request = *found->second;
    if (request.target != run.target || request.body != run.body) {
        return {"server " + run.server + " ran " + run.request_id + " with another target or body"};
    }
    if (!request.service.empty() && request.service != run.service) {
        return {"server " + run.server + " of " + run.service + " ran " + run.request_id +
                ", which goes to " + request.service};
    }
    if (request.key != "key-" + run.workspace) {
        return {"server " + run.server + " ran " + run.request_id + " for the workspace " + run.workspace};
    }
    return {};
}

broken_promises check_disconnected(const sent_request& request, std::span<const server_run> runs,
                                   std::span<const held_delivery> held, const disturbance_log& disturbances) {
    if (request.end == caller_end::answered) {
        return {};
    }
    broken_promises broken;
    for (const auto& run : runs) {
        const bool is_late = run.request_id == request.id && run.begun > request.ended + leave_limit;
        if (!is_late ||
            disturbances.has(disturbance_kind::gateway_down, request.gateway, request.ended, run.begun)) {
            continue;
        }
        const auto deliveries = deliveries_of(run, held);
        const auto is_in_time = [&request](const test::held_unit& unit) {
            return is_sent_in_time(unit, request.ended + leave_limit);
        };
        if (!deliveries.empty() && std::ranges::all_of(deliveries, is_in_time)) {
            continue;
        }
        auto line = describe(request) + ": reached " + run.server + " " + after(request.ended, run.begun) +
                    " its caller had left";
        for (const auto& unit : deliveries) {
            line += describe(unit, request.ended);
        }
        broken.push_back(std::move(line));
    }
    return broken;
}

broken_promises check_draining(const draining_server& server, std::span<const server_run> runs,
                               const disturbance_log& disturbances) {
    broken_promises broken;
    for (const auto& run : runs) {
        if (run.server != server.id || run.begun <= server.announced + drain_limit) {
            continue;
        }
        const auto from = server.announced - catch_up;
        const bool is_excused =
            disturbances.has(disturbance_kind::store, std::nullopt, from, run.begun) ||
            disturbances.has(disturbance_kind::gateway_down, std::nullopt, from, run.begun) ||
            disturbances.has(disturbance_kind::server_path, std::nullopt, from, run.begun);
        if (!is_excused) {
            broken.push_back("server " + run.server + " ran " + run.request_id +
                             " long after it had announced that it leaves");
        }
    }
    return broken;
}

broken_promises check_rate_limit(const limited_server& server, const disturbance_log& disturbances) {
    const emulator::rate_limit_terms terms;
    const auto is_excused = [&](clock::time_point begin, clock::time_point end) {
        const auto from = begin - terms.settling_time;
        return disturbances.has_of_all_gateways(disturbance_kind::gateway_down, from, end);
    };
    const auto worst = emulator::find_worst_window(server.arrivals, server.named, terms, is_excused);
    if (!worst.has_value() || worst->excess() <= 0) {
        return {};
    }
    return {"server " + server.id + " got " + std::to_string(worst->requests) +
            " requests in 4 s, its rate limit allows " + std::to_string(worst->allowed)};
}

broken_promises check_window(const std::string& what, std::vector<clock::time_point> events,
                             const window_limit& limit) {
    std::ranges::sort(events);
    std::size_t first = 0;
    for (std::size_t last = 0; last < events.size(); ++last) {
        while (events[last] - events[first] > limit.window) {
            ++first;
        }
        const auto count = last - first + 1;
        if (static_cast<double>(count) > limit.most) {
            return {what + ": " + std::to_string(count) + " in one window, at most " +
                    std::to_string(limit.most) + " were promised"};
        }
    }
    return {};
}

broken_promises check_retries(const std::string& service, std::vector<emulator::recorded_arrival> arrivals,
                              std::vector<clock::time_point> sent, const emulator::retry_terms& terms) {
    const auto worst = emulator::find_worst_retry_window(std::move(arrivals), std::move(sent), terms);
    if (!worst.has_value() || worst->excess() <= 0) {
        return {};
    }
    return {service + " got " + std::to_string(worst->retries) + " retries in one window, " +
            std::to_string(worst->allowed) + " are allowed"};
}

} // namespace borageford::soak
