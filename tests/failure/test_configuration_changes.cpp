// Tests that an accepted configuration is in force on all nodes within seconds and that no node goes back to
// an older one, whatever fails in the meantime.
#include "support/cluster.hpp"
#include "support/completion.hpp"
#include "support/operator_client.hpp"
#include "support/wait_until.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <iostream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace borageford;
using namespace borageford::test;

namespace {

constexpr std::uint32_t answer_tokens = 10;

/// Returns the intent in force with one more [service] section, which changes nothing for callers.
std::string with_service(const operator_client& by, const std::string& name) {
    return by.text_of(by.current_revision()) + "[service " + name + "]\n";
}

bool all_hold(const operator_client& by, std::uint64_t revision) {
    const auto nodes = by.status();
    return std::ranges::all_of(
        nodes, [revision](const node_line& node) { return node.is_reached && node.revision >= revision; });
}

bool is_served(const caller_result& answer, const http::request& call) {
    return answer.status == 200 && answer.is_complete && has_done_mark(answer.body) &&
           text_of_stream(answer.body) == expected_text(call, answer_tokens);
}

/// Sends requests to both entries, one after the other each, until stop() is called.
class load {
public:
    explicit load(cluster& system) {
        for (std::size_t entry = 0; entry < 2; ++entry) {
            m_callers.emplace_back([this, &system, entry] { send_on(system, entry); });
        }
    }
    ~load() { stop(); }
    load(const load&) = delete;
    load& operator=(const load&) = delete;
    load(load&&) = delete;
    load& operator=(load&&) = delete;

    void stop() {
        m_is_stopping = true;
        for (auto& caller : m_callers) {
            if (caller.joinable()) {
                caller.join();
            }
        }
    }

    [[nodiscard]] std::size_t served() const { return m_served; }
    [[nodiscard]] std::size_t failed() const { return m_failed; }

private:
    void send_on(cluster& system, std::size_t entry) {
        for (std::size_t number = 0; !m_is_stopping; ++number) {
            const auto prompt = "carga " + std::to_string(entry) + " " + std::to_string(number);
            const auto call = make_completion(prompt, {.tokens = answer_tokens});
            const auto answer = system.send(entry, call);
            if (is_served(answer, call)) {
                ++m_served;
            } else {
                ++m_failed;
                std::cerr << "under load: " << answer.status << ' ' << answer.error << ' ' << answer.body
                          << '\n';
            }
        }
    }

    std::atomic<bool> m_is_stopping = false;
    std::atomic<std::size_t> m_served = 0;
    std::atomic<std::size_t> m_failed = 0;
    std::vector<std::jthread> m_callers;
};

void show_times(const std::string& what, std::vector<std::uint64_t> times) {
    std::ranges::sort(times);
    std::cout << what << ": " << times.size() << " changes, in force everywhere after median "
              << times.at(times.size() / 2) << " ms, worst " << times.back() << " ms\n";
}

/// Confirms `count` changes one after the other, each when the one before is in force on all nodes. Returns
/// how long each took to be in force on all nodes, in milliseconds.
std::vector<std::uint64_t> change_often(const operator_client& by, std::size_t count) {
    std::vector<std::uint64_t> times;
    for (std::size_t number = 0; number < count; ++number) {
        const auto plan = by.plan(with_service(by, "servicio-" + std::to_string(number)));
        const auto answer = by.confirm(plan, "30s");
        REQUIRE(answer.state == "accepted");
        REQUIRE(answer.is_everywhere);
        times.push_back(answer.milliseconds);
    }
    return times;
}

} // namespace

// Two operators confirm conflicting plans at the same moment at different entries. If both plans were
// accepted, one would silently undo the other; if they were mixed, a configuration that nobody planned would
// be in force.
TEST_CASE(
    "configuration: of two plans confirmed at once one is accepted and the other is refused as a conflict") {
    cluster system;
    const operator_client ana(system.entry(0).admin, "ana");
    const operator_client bruno(system.entry(1).admin, "bruno");
    for (int round = 0; round < 10; ++round) {
        const auto text_of_ana = with_service(ana, "ana-" + std::to_string(round));
        const auto text_of_bruno = with_service(bruno, "bruno-" + std::to_string(round));
        const auto plan_of_ana = ana.plan(text_of_ana);
        const auto plan_of_bruno = bruno.plan(text_of_bruno);
        const auto first = ana.begin_confirm(plan_of_ana);
        const auto second = bruno.begin_confirm(plan_of_bruno);
        const auto answer_to_ana = operator_client::read_confirm(first->wait());
        const auto answer_to_bruno = operator_client::read_confirm(second->wait());
        const bool ana_won = answer_to_ana.state == "accepted";
        const auto& winner = ana_won ? answer_to_ana : answer_to_bruno;
        const auto& loser = ana_won ? answer_to_bruno : answer_to_ana;
        REQUIRE(winner.state == "accepted");
        CHECK(loser.status == 409);
        CHECK(loser.kind == "plan_conflict");
        CHECK(loser.revision == winner.revision);
        CHECK(loser.came_between == (ana_won ? "ana" : "bruno"));
        CHECK(ana.text_of(winner.revision) == (ana_won ? text_of_ana : text_of_bruno));
        wait_until("the round's revision at every node", [&] { return all_hold(ana, winner.revision); });
        wait_until("the round's revision at the other entry",
                   [&] { return bruno.current_revision() == winner.revision; });
    }
}

// The table commits a revision, and the connection breaks before the answer. If the commit were reported as
// failed, the operator would confirm again or make a new plan although the change is in force. It must be
// reported as accepted, and must make only one revision.
TEST_CASE("configuration: a commit whose answer is lost is reported as accepted and makes one revision") {
    cluster system;
    const operator_client ana(system.entry(0).admin, "ana");
    const operator_client bruno(system.entry(1).admin, "bruno");
    const auto before = ana.count_revisions();
    const auto plan = ana.plan(with_service(ana, "uno"));
    system.control_platform(R"({"lose_answers": 1})");
    const auto answer = ana.confirm(plan);
    CHECK(answer.state == "accepted");
    CHECK(answer.is_everywhere);
    const auto again = bruno.confirm(plan);
    CHECK(again.state == "already_accepted");
    CHECK(again.revision == answer.revision);
    CHECK(ana.count_revisions() == before + 1);
}

// The platform fails right after a commit, before any node except the entry that confirmed it could read the
// revision. The operator was told that the change is accepted, but nodes that only read the table would keep
// the previous configuration until the end of the outage.
TEST_CASE("configuration: a revision committed just before an outage reaches every node through peers") {
    cluster system;
    const operator_client ana(system.entry(0).admin, "ana");
    const auto plan = ana.plan(with_service(ana, "uno"));
    // From here on every read of the table returns the state at this moment, so no node can read the commit.
    system.control_platform(R"({"stale_reads": true})");
    const auto confirm = ana.begin_confirm(plan);
    const auto answer = operator_client::read_confirm(confirm->wait());
    system.control_platform(R"({"outage": true})");
    REQUIRE(answer.state == "accepted");
    wait_until("the revision at every node", [&] { return all_hold(ana, answer.revision); });
    const auto call = make_completion("en el apagon", {.tokens = answer_tokens});
    CHECK(is_served(system.send(1, call), call));
}

// A replica of the table lags behind for a long time and returns an old head row in every poll. A node that
// used the old head row would go back to a configuration that an operator has replaced.
TEST_CASE("configuration: stale reads of the head row make no node go back to an older revision") {
    cluster system;
    const operator_client ana(system.entry(0).admin, "ana");
    auto intent = ana.text_of(ana.current_revision());
    system.control_platform(R"({"stale_reads": true})");
    std::uint64_t revision = 0;
    for (const auto* name : {"uno", "dos", "tres"}) {
        intent += "[service " + std::string(name) + "]\n";
        const auto answer = ana.confirm(ana.plan(intent));
        REQUIRE(answer.state == "accepted");
        REQUIRE(answer.is_everywhere);
        revision = answer.revision;
    }
    // Waits until the nodes have made 40 more reads of the table, several for each node.
    const auto reads = system.platform_count("reads");
    wait_until("further stale polls", [&] { return system.platform_count("reads") >= reads + 40; });
    CHECK(all_hold(ana, revision));
}

// An entry is suspended while an operator drains a backend server, and callers have already connected to it.
// When it is resumed, it still has the previous configuration. If it placed requests by that, they would run
// on the drained server, which the operator takes for empty.
TEST_CASE("configuration: an entry suspended during a change and resumed under load uses no old revision") {
    cluster system;
    const operator_client bruno(system.entry(1).admin, "bruno");
    system.entry(0).process->freeze();
    const auto drained = bruno.drain("pluma-1", "1s");
    CHECK(drained.state == "accepted");
    CHECK_FALSE(drained.is_everywhere);
    CHECK(drained.behind == std::vector<std::string>{"entry-0"});
    const auto runs_before = system.server_count(0, "total");

    std::vector<http::request> calls;
    std::vector<std::unique_ptr<pending_call>> pending;
    for (int number = 0; number < 20; ++number) {
        calls.push_back(make_completion("helado " + std::to_string(number), {.tokens = answer_tokens}));
        pending.push_back(std::make_unique<pending_call>(system.entry(0).callers, calls.back()));
    }
    system.entry(0).process->thaw();
    for (std::size_t index = 0; index < calls.size(); ++index) {
        const auto answer = pending[index]->wait();
        INFO(answer.status << ' ' << answer.error << ' ' << answer.body);
        CHECK(is_served(answer, calls[index]));
    }
    CHECK(system.server_count(0, "total") == runs_before);
    wait_until("the revision at every node", [&] { return all_hold(bruno, drained.revision); });
    const auto metrics = fetch_text(system.entry(0).admin, "/metrics");
    CHECK(metrics.find("borageford_configuration_freezes 0\n") == std::string::npos);
    CHECK(metrics.find("borageford_configuration_freezes ") != std::string::npos);
    CHECK(metrics.find("borageford_configuration_revision 2\n") != std::string::npos);
}

// A sidecar is suspended while its backend server is drained, and offers have already arrived at its socket.
// When it is resumed, it must not grant these offers by the previous configuration.
TEST_CASE("configuration: a sidecar suspended during a change and resumed under load uses no old revision") {
    cluster system;
    const operator_client bruno(system.entry(1).admin, "bruno");
    system.backend(0).sidecar->freeze();
    std::vector<http::request> calls;
    std::vector<std::unique_ptr<pending_call>> pending;
    for (int number = 0; number < 20; ++number) {
        calls.push_back(make_completion("helado " + std::to_string(number), {.tokens = answer_tokens}));
        pending.push_back(std::make_unique<pending_call>(system.entry(number % 2).callers, calls.back()));
    }
    const auto drained = bruno.drain("pluma-1", "1s");
    CHECK(drained.behind == std::vector<std::string>{"vm-pluma-1"});
    const auto runs_before = system.server_count(0, "total");
    system.backend(0).sidecar->thaw();
    for (std::size_t index = 0; index < calls.size(); ++index) {
        const auto answer = pending[index]->wait();
        INFO(answer.status << ' ' << answer.error << ' ' << answer.body);
        CHECK(is_served(answer, calls[index]));
    }
    CHECK(system.server_count(0, "total") == runs_before);
    wait_until("the revision at every node", [&] { return all_hold(bruno, drained.revision); });
}

// A sidecar's VM is replaced during an outage of the platform. The new sidecar can't read the table, but the
// entries that know its address connect to it and have a newer revision. If it didn't get the configuration
// from them, its backend server would be idle until the end of the outage.
TEST_CASE("configuration: a sidecar started during an outage gets the configuration from its peers") {
    cluster system({.backend_servers = {{.name = "pluma-1"}}});
    const operator_client ana(system.entry(0).admin, "ana");
    system.control_platform(R"({"outage": true})");
    system.backend(0).sidecar->kill();
    system.start_sidecar(0);
    const auto call = make_completion("sin plataforma", {.tokens = answer_tokens});
    wait_until("an answer by the new sidecar", [&] { return is_served(system.send(0, call), call); });
}

// An entry's VM is replaced during an outage of the platform. The new entry has no configuration and knows no
// peers. Its answers to callers must state that the request didn't run and when to retry.
TEST_CASE(
    "configuration: an entry started during an outage refuses requests as not run and serves them later") {
    cluster system;
    system.control_platform(R"({"outage": true})");
    system.entry(1).process->kill();
    system.start_entry(1);
    const auto call = make_completion("sin configuracion", {.tokens = answer_tokens});
    const auto refused = system.send(1, call);
    CHECK(refused.status == 503);
    CHECK(refused.header("X-Error-Kind") == "no_configuration");
    CHECK(refused.header("X-Ran") == "no");
    CHECK_FALSE(refused.header("Retry-After").empty());
    CHECK(system.runs_of(call) == 0);
    system.control_platform(R"({"outage": false})");
    wait_until("an answer after the outage", [&] { return is_served(system.send(1, call), call); });
}

// An operator's script confirms fifty changes one after the other while callers are served. Each change must
// be in force on all nodes before the next one, and every caller must get a correct answer.
TEST_CASE("configuration: fifty quick revisions under load are in force on all nodes and disturb no caller") {
    cluster system;
    const operator_client ana(system.entry(0).admin, "ana");
    load callers(system);
    const auto times = change_often(ana, 50);
    callers.stop();
    CHECK(callers.failed() == 0);
    CHECK(callers.served() > 0);
    show_times("under load", times);
    CHECK(ana.current_revision() == 51);
    CHECK(all_hold(ana, 51));
}

// Revisions are accepted between the claim of a non-idempotent call's key and its start, so that the entry
// decides about the call again. The call must neither run twice nor be refused because of its own claim: an
// author would see a "kudos" call counted twice or not at all.
TEST_CASE("configuration: quick revisions make no non-idempotent call run twice or get lost") {
    cluster system({.backend_servers = {{.name = "estante-1", .is_service = true},
                                        {.name = "estante-2", .is_service = true}}});
    const operator_client ana(system.entry(0).admin, "ana");
    std::atomic<bool> is_changing = true;
    std::vector<http::request> calls;
    std::vector<caller_result> answers;
    std::jthread author([&] {
        for (int number = 0; is_changing; ++number) {
            calls.push_back(
                make_service_call("cambio " + std::to_string(number), "c" + std::to_string(number)));
            answers.push_back(system.send(static_cast<std::size_t>(number % 2), calls.back()));
        }
    });
    show_times("with non-idempotent calls", change_often(ana, 50));
    is_changing = false;
    author.join();
    REQUIRE_FALSE(calls.empty());
    for (std::size_t index = 0; index < calls.size(); ++index) {
        INFO(answers[index].status << ' ' << answers[index].error << ' ' << answers[index].body);
        CHECK(answers[index].status == 200);
        CHECK(system.runs_of(calls[index]) == 1);
    }
}

// Fifty changes with a poll period of 2 s. With the short period of the other tests, polling would hide a
// failure of peers to send new revisions to each other.
TEST_CASE("configuration: changes are in force on all nodes without waiting for a poll") {
    cluster system({.poll_period = "2s"});
    const operator_client ana(system.entry(0).admin, "ana");
    const auto times = change_often(ana, 50);
    show_times("poll period 2 s, idle", times);
}
