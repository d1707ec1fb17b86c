// Tests of the placement policies round_robin, power_of_two and late_binding, and of find_placement_policy().
#include "policy/placement.hpp"
#include "policy/rendezvous.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

using namespace borageford::policy;
using namespace std::chrono_literals;

namespace {

std::vector<placement_candidate> make_candidates(std::size_t count, double rate = 4000) {
    std::vector<placement_candidate> candidates(count);
    for (std::size_t index = 0; index < count; ++index) {
        candidates[index].name_hash = 1000 + index;
        candidates[index].failure_domain = "sala-a";
        candidates[index].region = "occidente";
        candidates[index].load = reported_load{.prefill_tokens_per_second = rate};
    }
    return candidates;
}

placement_request make_request(std::uint64_t key, std::uint32_t prompt_tokens = 500) {
    placement_request request;
    request.home_key = key;
    request.prompt_tokens = prompt_tokens;
    request.failure_domain = "sala-a";
    request.region = "occidente";
    request.seed = key * 7 + 1;
    return request;
}

bool is_asked_at_once(const placement_plan& plan, std::size_t candidate) {
    return std::ranges::any_of(plan.offers, [candidate](const planned_offer& offer) {
        return offer.candidate == candidate && offer.after == duration{};
    });
}

} // namespace

TEST_CASE("placement policies are found by name", "[policy][placement]") {
    CHECK(std::holds_alternative<late_binding>(find_placement_policy("late_binding").value()));
    CHECK(std::holds_alternative<power_of_two>(find_placement_policy("power_of_two").value()));
    CHECK(std::holds_alternative<round_robin>(find_placement_policy("round_robin").value()));
    CHECK_FALSE(find_placement_policy("random"));
}

TEST_CASE("no candidate gives an empty plan", "[policy][placement]") {
    for (const auto* name : {"round_robin", "power_of_two", "late_binding"}) {
        CHECK(plan_placement(*find_placement_policy(name), make_request(1), {}).offers.empty());
    }
}

TEST_CASE("round robin takes the candidates in turn", "[policy][placement]") {
    const auto candidates = make_candidates(3);
    for (std::uint64_t turn = 0; turn < 6; ++turn) {
        auto request = make_request(1);
        request.sequence = turn;
        const auto plan = plan_placement(round_robin{}, request, candidates);
        REQUIRE(plan.offers.size() == 1);
        CHECK(plan.offers.front().candidate == turn % 3);
    }
}

TEST_CASE("power of two chooses the less loaded candidate, counting own requests since the report",
          "[policy][placement]") {
    auto candidates = make_candidates(2);
    candidates[0].load->running_sequences = 3;
    candidates[1].own_requests_since = 4;
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
        const auto plan = plan_placement(power_of_two{}, make_request(seed), candidates);
        REQUIRE(plan.offers.size() == 1);
        CHECK(plan.offers.front().candidate == 0);
    }
}

TEST_CASE("late binding offers a prefix to its two homes one after the other, then to all other servers",
          "[policy][placement]") {
    const auto candidates = make_candidates(12);
    auto request = make_request(42);
    const auto first = plan_placement(late_binding{}, request, candidates);
    request.seed = 99;
    const auto second = plan_placement(late_binding{}, request, candidates);
    CHECK(first.offers[0].candidate == second.offers[0].candidate);
    CHECK(first.offers[1].candidate == second.offers[1].candidate);
    CHECK(first.offers[0].after == duration{});
    CHECK(first.offers[1].after > duration{});
    CHECK(first.offers[2].after > first.offers[1].after);
    std::set<std::size_t> named;
    for (const auto& offer : first.offers) {
        named.insert(offer.candidate);
    }
    CHECK(named.size() == 12);
    CHECK(std::ranges::is_sorted(first.offers, {}, &planned_offer::after));
}

TEST_CASE("prefixes are spread over backend servers by their measured prefill rate", "[policy][placement]") {
    auto candidates = make_candidates(4);
    candidates[0].load->prefill_tokens_per_second = 8000;
    std::map<std::size_t, int> won;
    for (std::uint64_t key = 0; key < 5000; ++key) {
        ++won[plan_placement(late_binding{}, make_request(key), candidates).offers.front().candidate];
    }
    CHECK(won[0] == Approx(2000).epsilon(0.1));
    CHECK(won[1] == Approx(1000).epsilon(0.1));
}

TEST_CASE("a lost backend server moves only its own prefixes", "[policy][placement]") {
    // When a backend server crashes, the prefixes of the other servers must keep their homes. Otherwise every
    // chapter would be prefilled again just when there is less prefill capacity.
    const auto candidates = make_candidates(10);
    const auto left = std::span(candidates).first(9);
    for (std::uint64_t key = 0; key < 500; ++key) {
        const auto before =
            plan_placement(late_binding{}, make_request(key), candidates).offers.front().candidate;
        const auto after = plan_placement(late_binding{}, make_request(key), left).offers.front().candidate;
        if (before != 9) {
            CHECK(before == after);
        }
    }
}

TEST_CASE("a home that is too busy is skipped", "[policy][placement]") {
    auto candidates = make_candidates(6);
    const auto request = make_request(7);
    const auto home = plan_placement(late_binding{}, request, candidates).offers.front().candidate;
    candidates[home].load->expected_wait = 3s;
    CHECK_FALSE(is_asked_at_once(plan_placement(late_binding{}, request, candidates), home));
    for (auto& candidate : candidates) {
        candidate.load->expected_wait = 3s;
    }
    CHECK(is_asked_at_once(plan_placement(late_binding{}, request, candidates), home));
}

TEST_CASE("a server that has the prefix cached is offered the request before a home that hasn't",
          "[policy][placement]") {
    auto candidates = make_candidates(6);
    const auto request = make_request(7);
    const auto last = plan_placement(late_binding{}, request, candidates).offers.back().candidate;
    candidates[last].cached_tokens = 480;
    const auto plan = plan_placement(late_binding{}, request, candidates);
    CHECK(plan.offers[0].candidate == last);
    CHECK(plan.offers[0].after == duration{});
    CHECK(plan.offers[1].after > duration{});
}

TEST_CASE("long prompts get homes that can prefill them in time", "[policy][placement]") {
    auto candidates = make_candidates(6, 1000);
    candidates[3].load->prefill_tokens_per_second = 8000;
    candidates[4].load->prefill_tokens_per_second = 8000;
    for (std::uint64_t key = 0; key < 50; ++key) {
        const auto plan = plan_placement(late_binding{}, make_request(key, 4000), candidates);
        CHECK(plan.offers[0].candidate + plan.offers[1].candidate == 3 + 4);
        CHECK(plan.offers[1].after < plan.offers[2].after);
    }
}

TEST_CASE("servers of another region come after all servers of the request's region", "[policy][placement]") {
    auto candidates = make_candidates(6);
    candidates[0].region = "tw-north";
    candidates[1].region = "tw-north";
    candidates[0].cached_tokens = 500;
    for (std::uint64_t key = 0; key < 50; ++key) {
        const auto plan = plan_placement(late_binding{}, make_request(key), candidates);
        CHECK(plan.offers[4].candidate < 2);
        CHECK(plan.offers[5].candidate < 2);
    }
}

TEST_CASE("among equal servers those of the request's failure domain come first", "[policy][placement]") {
    auto candidates = make_candidates(4);
    candidates[0].failure_domain = "sala-b";
    candidates[1].failure_domain = "sala-c";
    auto request = make_request(1);
    request.home_key.reset();
    for (std::uint64_t seed = 0; seed < 50; ++seed) {
        request.seed = seed;
        const auto plan = plan_placement(late_binding{}, request, candidates);
        CHECK(plan.offers[0].candidate >= 2);
        CHECK(plan.offers[1].candidate >= 2);
        CHECK(plan.offers[1].after == duration{});
    }
}
