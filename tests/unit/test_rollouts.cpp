// Tests of roll-outs of software versions: the statistical evaluation, the phases, which servers get slots,
// and the encoding of orders and states in the store.
#include "platform/backend_codec.hpp"
#include "platform/rollout_codec.hpp"
#include "policy/rollout_progress.hpp"
#include "support/known_servers.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>

using namespace borageford;
using policy::canary_analysis;
using policy::rollout_phase;
using policy::rollout_progress;
using routing::rollout_state;
using test::known_servers;
using namespace std::chrono_literals;

namespace {

const policy::time_point start_time = policy::time_point{} + 1h;

/// The probabilities with which an answer of one version fails or is slow.
struct quality {
    double failing = 0;
    double slow = 0;
};

/// Draws random answers from a seed: 20 answers of the previous version for each one of the new version.
class rollout_simulation {
public:
    explicit rollout_simulation(unsigned seed) : m_random(seed) {}

    /// Records answers until the new version is rejected and returns how many answers it gave; `most` if it
    /// wasn't rejected within that many.
    std::size_t run(canary_analysis& analysis, quality previous, quality new_version, std::size_t most) {
        constexpr int previous_answers = 20;
        for (std::size_t answer = 0; answer < most; ++answer) {
            for (int index = 0; index < previous_answers; ++index) {
                analysis.record_previous(draw(previous));
            }
            analysis.record_new(draw(new_version));
            if (analysis.is_bad()) {
                return answer + 1;
            }
        }
        return most;
    }

private:
    policy::version_answer draw(quality of) {
        constexpr double mean_ms = 100;
        constexpr double slow_factor = 6;
        std::lognormal_distribution<double> time(std::log(mean_ms), 0.4);
        const bool has_failed = std::bernoulli_distribution(of.failing)(m_random);
        const bool is_slow = std::bernoulli_distribution(of.slow)(m_random);
        return {has_failed, policy::from_seconds(time(m_random) * (is_slow ? slow_factor : 1) / 1000)};
    }

    std::mt19937 m_random;
};

} // namespace

TEST_CASE("a bad version is rejected before it has given fifty bad answers, a good one isn't",
          "[policy][rollout]") {
    struct row {
        quality previous;
        quality new_version;
    };
    constexpr std::size_t most = 600;
    constexpr unsigned seeds = 200;
    for (const auto& [previous, new_version] :
         {row{{0, 0}, {0.3, 0}}, row{{0, 0}, {0, 0.4}}, row{{0.01, 0}, {0.2, 0.2}}, row{{0.14, 0}, {0.5, 0}},
          row{{0.05, 0.02}, {1, 0}}}) {
        for (unsigned seed = 0; seed < seeds; ++seed) {
            canary_analysis analysis;
            CHECK(rollout_simulation(seed).run(analysis, previous, new_version, most) < most);
            CHECK(analysis.bad() < 50);
        }
    }
    unsigned rejected = 0;
    for (const auto& both : {quality{0, 0}, quality{0.01, 0}, quality{0.14, 0}, quality{0.05, 0.05}}) {
        for (unsigned seed = 0; seed < seeds; ++seed) {
            canary_analysis analysis;
            rejected += rollout_simulation(seed).run(analysis, both, both, most) < most ? 1 : 0;
        }
    }
    CHECK(rejected <= 4 * seeds / 100);
}

TEST_CASE("a version that turns bad after a good beginning is rejected as soon as one that was always bad",
          "[policy][rollout]") {
    canary_analysis analysis;
    rollout_simulation simulation(7);
    simulation.run(analysis, {}, {}, 300);
    CHECK(analysis.is_good());
    CHECK(simulation.run(analysis, {}, {0.5, 0}, 300) < 50);
    CHECK(analysis.is_bad());
}

TEST_CASE("a burst that slows down both versions doesn't reject the new one", "[policy][rollout]") {
    canary_analysis analysis;
    rollout_simulation simulation(8);
    simulation.run(analysis, {}, {}, 100);
    CHECK(simulation.run(analysis, {0, 0.5}, {0, 0.5}, 3) == 3);
}

TEST_CASE("a delay that callers don't notice doesn't reject the new version", "[policy][rollout]") {
    // On a busy machine, answers that take a millisecond at other times take several. The new version gets
    // few requests, often on new connections, so this hits it harder, and a good version was rolled back.
    canary_analysis analysis;
    for (int answer = 0; answer < 200; ++answer) {
        analysis.record_previous({false, 1ms});
        analysis.record_new({false, answer % 4 == 0 ? 30ms : 1ms});
    }
    CHECK_FALSE(analysis.is_bad());
    CHECK(analysis.is_good());
}

TEST_CASE("the new version gets a small share of the requests until it is accepted", "[policy][rollout]") {
    rollout_progress progress("v2", 10s, start_time);
    progress.begin();
    int new_requests = 0;
    for (int request = 0; request < 1000; ++request) {
        const bool is_new = progress.can_grant_to_new_version();
        progress.record_grant(is_new);
        new_requests += is_new ? 1 : 0;
    }
    CHECK(new_requests <= 50);
    CHECK(new_requests > 40);
}

TEST_CASE("the roll-out of a good version is completed once the previous version has no running requests",
          "[policy][rollout]") {
    rollout_progress progress("v2", 10s, start_time);
    progress.begin();
    for (int answer = 0; answer < 100; ++answer) {
        progress.record_answer(false, {false, 100ms});
        progress.record_answer(true, {false, 100ms});
    }
    progress.advance(true, start_time + 1s);
    CHECK(progress.phase() == rollout_phase::probing);
    progress.advance(false, start_time + 5s);
    CHECK(progress.phase() == rollout_phase::finishing);
    progress.advance(false, start_time + 6s);
    CHECK(progress.phase() == rollout_phase::finishing);
    progress.advance(true, start_time + 7s);
    CHECK(progress.phase() == rollout_phase::completed);
}

TEST_CASE("a version with too few answers is rolled back at the end of the time limit", "[policy][rollout]") {
    rollout_progress progress("v2", 10s, start_time);
    progress.begin();
    progress.advance(true, start_time + 9s);
    CHECK(progress.phase() == rollout_phase::probing);
    progress.advance(true, start_time + 10s);
    CHECK(progress.phase() == rollout_phase::rolled_back);
    progress.pause();
    CHECK(progress.phase() == rollout_phase::rolled_back);
}

TEST_CASE("a version that is being rolled out gets no requests without a coordinator", "[gateway][rollout]") {
    known_servers here;
    here.write("old", "engines#v1", 1);
    const bool is_server_first = GENERATE(true, false);
    if (is_server_first) {
        here.write("new", "engines#v2", 2);
        CHECK_FALSE(here.rollouts().is_withheld("new"));
    }
    here.rollouts().set_order({"engines", "v2", 10s});
    here.write("new", "engines#v2", 3);
    here.write("other", "plain#v2", 4);
    here.rollouts().tick();
    CHECK(here.rollouts().is_withheld("new"));
    CHECK_FALSE(here.rollouts().is_withheld("old"));
    CHECK_FALSE(here.rollouts().is_withheld("other"));
    CHECK(here.recorded().empty());
    here.write("new", "leaving engines#v2", 5);
    // Not withheld, because a draining server gets no work anyway.
    CHECK_FALSE(here.rollouts().is_withheld("new"));
    here.write("newer", "engines#v2", 6);
    CHECK(here.rollouts().is_withheld("newer"));
    here.rollouts().withdraw_order("engines");
    CHECK_FALSE(here.rollouts().is_withheld("newer"));
}

TEST_CASE("a new coordinator first reads from the store what was decided before", "[gateway][rollout]") {
    // A new coordinator must not start a roll-out again that was rolled back, or undo one that was completed.
    known_servers here;
    here.write("old", "engines#v1", 1);
    here.write("new", "engines#v2", 2);
    here.rollouts().set_order({"engines", "v2", 10s});
    here.set_deciding(true);
    here.rollouts().tick();
    REQUIRE(here.recorded().size() == 1);
    CHECK(here.recorded().front().state == rollout_state::running);
    CHECK(here.rollouts().is_withheld("new"));
    SECTION("rolled back") {
        here.rollouts().apply_status({"engines", "v2", rollout_state::rolled_back});
        here.rollouts().tick();
        CHECK(here.rollouts().is_withheld("new"));
        CHECK_FALSE(here.rollouts().is_withheld("old"));
    }
    SECTION("completed") {
        here.rollouts().apply_status({"engines", "v2", rollout_state::completed});
        here.rollouts().tick();
        CHECK(here.rollouts().is_withheld("old"));
        CHECK_FALSE(here.rollouts().is_withheld("new"));
    }
    SECTION("of another order") {
        here.rollouts().apply_status({"engines", "v1", rollout_state::completed});
        CHECK_FALSE(here.rollouts().is_withheld("old"));
    }
    CHECK(here.recorded().size() == 1);
}

TEST_CASE("the final state of a roll-out is recorded again if the store has lost it", "[gateway][rollout]") {
    known_servers here;
    here.read_all({1, 10}, {{"old", "engines#v1", 1}, {"new", "engines#v2", 2}});
    here.rollouts().set_order({"engines", "v2", 10s});
    here.set_deciding(true);
    here.rollouts().tick();
    here.rollouts().apply_status({"engines", "v2", rollout_state::rolled_back});
    here.read_all({2, 5}, {{"old", "engines#v1", 1}, {"new", "engines#v2", 2}});
    REQUIRE(here.recorded().size() == 2);
    CHECK(here.recorded().back().state == rollout_state::rolled_back);
}

TEST_CASE("orders, states and versions are decoded as they were encoded", "[platform][rollout]") {
    const auto order = platform::decode_rollout(platform::encode_rollout({"engines", "v2", 12s}));
    CHECK(order.service == "engines");
    CHECK(order.to == "v2");
    CHECK(order.duration == 12s);
    CHECK_THROWS(platform::decode_rollout(R"({"service":"engines","duration_s":12})"));
    CHECK_THROWS(platform::decode_rollout(R"({"service":"engines","to":"","duration_s":12})"));
    CHECK_THROWS(platform::decode_rollout(R"({"service":"engines","to":"v2","duration_s":-1})"));
    CHECK_THROWS(platform::decode_rollout("v2"));
    for (const auto state : {rollout_state::running, rollout_state::completed, rollout_state::rolled_back}) {
        const auto text = platform::encode_rollout_status({"engines", "v2", state});
        CHECK(platform::decode_rollout_status("engines", text).state == state);
    }
    CHECK_THROWS(platform::decode_rollout_status("engines", R"({"state":"paused","to":"v2"})"));
    routing::backend_record record;
    record.id = "a";
    record.service = "engines";
    record.version = "v2";
    record.address = {boost::asio::ip::make_address("10.0.0.1"), 80};
    record.failure_domain = "a";
    CHECK(platform::decode_backend("a", platform::encode_backend(record)).version == "v2");
    constexpr std::string_view numbered =
        R"({"service":"engines","address":"10.0.0.1:80","zone":"a","slots":8,"state":"ready","version":2})";
    CHECK(platform::decode_backend("a", numbered).version == "2");
}
