// Finds the gateway of each arrival by the request that its caller had sent.
#include "soak/statement_checks.hpp"

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace borageford::soak {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds leaving_limit{2000};
constexpr milliseconds pause_settling{500};
constexpr std::size_t excused_arrivals = 2;
constexpr unsigned first_gateway_error = 502;
constexpr unsigned status_unavailable = 503;

const sent_request* find(const std::map<std::string, const sent_request*>& sent, const std::string& id) {
    const auto found = sent.find(id);
    return found == sent.end() ? nullptr : found->second;
}

/// Whether the gateway has certainly received the server's answer: it neither lost its caller nor gave up the
/// server before.
bool has_received_answer(const sent_request& request) {
    const auto status = request.result.status;
    return request.end == caller_end::answered && request.is_same_process && status != 0 &&
           (status < first_gateway_error || status == status_unavailable);
}

bool are_of_one_process(const sent_request& left, const sent_request& right) {
    return left.gateway == right.gateway && left.gateway_start_count == right.gateway_start_count;
}

std::size_t count_from(const stating_server& server, const sent_request& turned_away,
                       const std::map<std::string, const sent_request*>& sent, clock::time_point begin,
                       clock::time_point end) {
    return static_cast<std::size_t>(std::ranges::count_if(server.arrivals, [&](const auto& arrival) {
        const auto* request = find(sent, arrival.request_id);
        return request != nullptr && are_of_one_process(*request, turned_away) && arrival.at > begin &&
               arrival.at < end;
    }));
}

} // namespace

broken_promises check_leaving(const stating_server& server,
                              const std::map<std::string, const sent_request*>& sent,
                              const disturbance_log& disturbances) {
    broken_promises broken;
    for (const auto& statement : server.statements) {
        const auto* answered = find(sent, statement.request_id);
        if (!statement.is_leaving || answered == nullptr || !has_received_answer(*answered)) {
            continue;
        }
        for (const auto& arrival : server.arrivals) {
            const auto* request = find(sent, arrival.request_id);
            const bool is_late = arrival.result != emulator::arrival_result::misdirected &&
                                 request != nullptr && are_of_one_process(*request, *answered) &&
                                 request->sent > answered->ended + leaving_limit;
            if (is_late && !disturbances.has(disturbance_kind::gateway_down, answered->gateway,
                                             answered->ended, arrival.at)) {
                broken.push_back(server.name + " got " + arrival.request_id + " long after its answer to " +
                                 statement.request_id + " had told the gateway that it leaves");
            }
        }
    }
    return broken;
}

broken_promises check_pauses(const stating_server& server,
                             const std::map<std::string, const sent_request*>& sent,
                             const disturbance_log& disturbances) {
    broken_promises broken;
    for (const auto& statement : server.statements) {
        const auto* turned_away = find(sent, statement.request_id);
        if (statement.pause == policy::duration::zero() || turned_away == nullptr ||
            !has_received_answer(*turned_away)) {
            continue;
        }
        const auto end = statement.at + statement.pause;
        const bool is_excused =
            disturbances.has(disturbance_kind::gateway_down, turned_away->gateway, statement.at, end) ||
            disturbances.has(disturbance_kind::server_path, std::nullopt, statement.at, end);
        const auto count = count_from(server, *turned_away, sent, statement.at + pause_settling, end);
        if (count > excused_arrivals && !is_excused) {
            broken.push_back(server.name + " got " + std::to_string(count) +
                             " requests in a pause that it had asked gateway " +
                             std::to_string(turned_away->gateway) + " for");
        }
    }
    return broken;
}

} // namespace borageford::soak
