// Makes one kind of decision a given number of times, so that valgrind can count the instructions of a
// decision. scripts/count-instructions runs it with two counts and divides the difference of the instructions
// by that of the counts.
#include "policy/adaptive_limit.hpp"
#include "policy/coordinator_election.hpp"
#include "policy/offer_queue.hpp"
#include "policy/placement.hpp"
#include "policy/prefix_index.hpp"
#include "policy/random_sequence.hpp"
#include "policy/slot_scheduler.hpp"
#include "policy/workspace_limits.hpp"

#include <cstdio>
#include <cstdlib>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace borageford::test {
namespace {

using namespace policy;
using namespace std::chrono_literals;

const time_point start_time = time_point{} + 1h;

// Each of the following functions returns a sum over its decisions, so that the compiler can't optimize them
// away.

/// Decides the placement of requests among `servers` servers.
std::size_t place_requests(std::size_t servers, std::size_t count) {
    std::size_t checksum = 0;
    std::vector<placement_candidate> candidates(servers);
    random_sequence random(1);
    for (auto& candidate : candidates) {
        candidate.name_hash = random.next();
        candidate.failure_domain = "sala-a";
        candidate.region = "occidente";
        candidate.load = reported_load{.prefill_tokens_per_second = 500.0 + random.below(3000)};
    }
    placement_request request;
    request.region = "occidente";
    request.prompt_tokens = 500;
    const placement_policy chosen = late_binding{};
    for (std::size_t index = 0; index < count; ++index) {
        request.home_key = random.next();
        request.seed = random.next();
        checksum += plan_placement(chosen, request, candidates).offers.front().candidate;
    }
    return checksum;
}

/// Adds an offer to a queue of 100 waiting offers and takes the next one out.
std::size_t queue_offers(std::size_t count) {
    std::size_t checksum = 0;
    offer_queue waiting({});
    auto now = start_time;
    for (std::uint64_t number = 0; number < 100 + count; ++number) {
        now += 1ms;
        queued_offer offer;
        offer.dispatch = {1, number};
        offer.workspace = "workspace-" + std::to_string(number % 5);
        offer.tier = static_cast<unsigned>(number % 4);
        offer.tokens = 100 + number % 400;
        checksum += waiting.put(offer, now).is_queued ? 1 : 0;
        if (number >= 100) {
            checksum += waiting.take_next(now)->tokens;
        }
    }
    return checksum;
}

/// Admits a request to an `adaptive_limit`, records its latencies and releases it.
std::size_t admit_requests(std::size_t count) {
    std::size_t checksum = 0;
    adaptive_limit limits({});
    auto now = start_time;
    for (std::size_t index = 0; index < count; ++index) {
        now += 1ms;
        checksum += limits.has_room(100) ? 1 : 0;
        auto admitted = limits.admit(100);
        limits.record_first_token(admitted, 100ms, now);
        limits.record_between_tokens(20ms, now);
        limits.release(admitted);
    }
    return checksum;
}

/// Hashes a prompt of 8,000 bytes (about 2,000 tokens), looks its prefix up and records it.
std::size_t find_prefix(std::size_t count) {
    std::size_t checksum = 0;
    prefix_index index;
    std::string prompt(8000, 'x');
    for (std::size_t number = 0; number < count; ++number) {
        prompt.replace(0, 8, std::to_string(10000000 + number % 100));
        const auto hashes = hash_prefix_blocks(prompt);
        checksum += index.home_key(hashes).value_or(0) + index.find_holders(hashes, start_time).size();
        index.record_start(hashes, number % 12, start_time);
    }
    return checksum;
}

/// Checks a request against the limits of its workspace and records its end.
std::size_t admit_workspace(std::size_t count) {
    std::size_t checksum = 0;
    workspace_limits limits;
    limits.set_limit("workspace-1",
                     {.requests_per_second = 1e6, .tokens_per_second = 1e9, .concurrent_requests = 10},
                     start_time);
    auto now = start_time;
    for (std::size_t index = 0; index < count; ++index) {
        now += 1ms;
        checksum += limits.try_begin("workspace-1", 100, now) ? 1 : 0;
        limits.finish("workspace-1", 100, 120, 50ms, now);
    }
    return checksum;
}

/// Adds a slot request and releases a slot while 300 requests wait, as at an overloaded coordinator.
std::size_t grant_slots(std::size_t servers, std::size_t count) {
    constexpr service_key service = 1;
    constexpr slot_ticket waiting = 300;
    slot_scheduler scheduler(
        {.outstanding_per_slot = 1, .reserved_slots = 0, .max_expected_wait_in_targets = 1e6});
    for (server_key server = 1; server <= servers; ++server) {
        scheduler.set_server(server, service, 1);
    }
    std::size_t checksum = 0;
    std::vector<slot_grant> running;
    for (slot_ticket ticket = 1; ticket <= servers + waiting + count; ++ticket) {
        slot_request request;
        request.ticket = ticket;
        request.service = service;
        request.arrived = start_time;
        request.deadline = start_time + 10s;
        request.target = 500ms;
        request.cost.prompt = 500;
        scheduler.add(request, start_time);
        if (ticket > servers + waiting) {
            const auto& ended = running.at(ticket - servers - waiting - 1);
            scheduler.release({ended.ticket, ended.server, slot_outcome::served, 100ms, 40ms}, start_time);
        }
        for (const auto& grant : scheduler.grant(start_time)) {
            running.push_back(grant);
            checksum += grant.server;
        }
    }
    return checksum;
}

/// Records a heartbeat at a coordinator and lists the candidates that its reply names.
std::size_t answer_heartbeats(std::size_t members, std::size_t count) {
    coordinator_election election(1, 0.19, {}, start_time);
    std::size_t checksum = 0;
    for (std::size_t number = 0; number < members + count; ++number) {
        election.record_heartbeat(2 + number % members, {0.19, false, true, false}, start_time);
        if (number >= members) {
            checksum += election.known(start_time).size();
        }
    }
    return checksum;
}

/// Makes the named kind of decision `count` times; none when there is no such kind.
std::optional<std::size_t> run_decisions(std::string_view name, std::size_t count) {
    if (name == "place_12") {
        return place_requests(12, count);
    }
    if (name == "place_75") {
        return place_requests(75, count);
    }
    if (name == "queue") {
        return queue_offers(count);
    }
    if (name == "limit") {
        return admit_requests(count);
    }
    if (name == "prefix") {
        return find_prefix(count);
    }
    if (name == "workspace") {
        return admit_workspace(count);
    }
    if (name == "grant_50") {
        return grant_slots(50, count);
    }
    if (name == "grant_3000") {
        return grant_slots(3000, count);
    }
    if (name == "heartbeat_300") {
        return answer_heartbeats(300, count);
    }
    return std::nullopt;
}

} // namespace
} // namespace borageford::test

int main(int count, char** arguments) {
    const auto result =
        count == 3 ? borageford::test::run_decisions(arguments[1], std::strtoull(arguments[2], nullptr, 10))
                   : std::nullopt;
    if (!result) {
        std::fputs(
            "borageford_decision_cost place_12|place_75|queue|limit|prefix|workspace|grant_50|grant_3000|"
            "heartbeat_300 COUNT\n",
            stderr);
        return 2;
    }
    std::printf("%zu\n", *result);
    return 0;
}
