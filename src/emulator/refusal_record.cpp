// Collects the sends of each request from all servers, in order of time.
#include "emulator/refusal_record.hpp"

#include <algorithm>
#include <map>

namespace borageford::emulator {

namespace {

/// One arrival of a request, and where it was.
struct send {
    std::size_t server = 0;
    const recorded_arrival* arrival = nullptr;
};

std::map<std::string_view, std::vector<send>> collect_sends(std::span<const server_arrivals> servers) {
    std::map<std::string_view, std::vector<send>> result;
    for (std::size_t server = 0; server < servers.size(); ++server) {
        for (const auto& arrival : servers[server]) {
            result[arrival.request_id].push_back({server, &arrival});
        }
    }
    for (auto& [id, sends] : result) {
        std::ranges::sort(sends, {}, [](const send& each) { return each.arrival->at; });
    }
    return result;
}

/// Whether the server had refused the request before the send with this index; with `on_connection`, on the
/// same connection.
bool was_refused_there(std::span<const send> sends, std::size_t index, bool on_connection) {
    const auto& there = sends[index];
    return std::ranges::any_of(sends.first(index), [&](const send& earlier) {
        return earlier.server == there.server && !earlier.arrival->is_run() &&
               (!on_connection || earlier.arrival->connection == there.arrival->connection);
    });
}

} // namespace

refusal_counts count_refusals(std::span<const server_arrivals> servers,
                              const std::set<std::string, std::less<>>& at_most_once,
                              const std::set<std::string, std::less<>>& told_not_run) {
    refusal_counts result;
    for (const auto& [id, sends] : collect_sends(servers)) {
        std::size_t runs = 0;
        bool ran_on_connection = false; // of an earlier refusal
        for (std::size_t index = 0; index < sends.size(); ++index) {
            const bool is_run = sends[index].arrival->is_run();
            const bool is_on_connection = was_refused_there(sends, index, true);
            ran_on_connection = ran_on_connection || (is_run && is_on_connection);
            runs += is_run ? 1 : 0;
            result.refused += is_run ? 0 : 1;
            result.returned_to_server += was_refused_there(sends, index, false) ? 1 : 0;
            result.returned_on_connection += is_on_connection ? 1 : 0;
        }
        const bool ran_twice = runs > 1;
        const bool ran_though_refused = runs > 0 && told_not_run.contains(id);
        if (!at_most_once.contains(id) || (!ran_twice && !ran_though_refused)) {
            continue;
        }
        result.ran_twice += ran_twice ? 1 : 0;
        result.ran_though_refused += ran_though_refused ? 1 : 0;
        result.broken_refused_first += sends.front().arrival->is_run() ? 0 : 1;
        result.broken_on_connection += ran_on_connection ? 1 : 0;
        result.broken_ids.emplace_back(id);
    }
    return result;
}

} // namespace borageford::emulator
