// Requirement 6: a graceful stop aborts no request, and during a rolling restart of all processes no request
// is lost or run twice.
#include "support/checks.hpp"
#include "support/cluster.hpp"
#include "support/completion.hpp"
#include "support/wait_until.hpp"

#include <catch2/catch.hpp>

#include <atomic>
#include <mutex>
#include <thread>
#include <vector>

using namespace borageford;
using namespace borageford::test;

namespace {

/// A request of steady_load and its last answer.
struct load_outcome {
    http::request call;
    caller_result answer;
    std::uint32_t tokens = 0;
};

/// Callers that send one request after another, alternating between two addresses. A request without a
/// complete answer is sent again with the same idempotency key.
class steady_load {
public:
    steady_load(const http::endpoint& first, const http::endpoint& second, int callers) {
        for (int caller = 0; caller < callers; ++caller) {
            m_threads.emplace_back([this, first, second, caller] { run(first, second, caller); });
        }
    }
    ~steady_load() { static_cast<void>(finish()); }
    steady_load(const steady_load&) = delete;
    steady_load& operator=(const steady_load&) = delete;
    steady_load(steady_load&&) = delete;
    steady_load& operator=(steady_load&&) = delete;

    /// Waits until each caller has finished its current request, and returns all requests with their answers.
    std::vector<load_outcome> finish() {
        m_stopping = true;
        for (auto& thread : m_threads) {
            thread.join();
        }
        m_threads.clear();
        const std::scoped_lock lock(m_mutex);
        return m_outcomes;
    }

    [[nodiscard]] std::size_t answered() {
        const std::scoped_lock lock(m_mutex);
        return m_outcomes.size();
    }

private:
    void run(const http::endpoint& first, const http::endpoint& second, int caller) {
        for (int round = 0; !m_stopping; ++round) {
            const auto name = "carga " + std::to_string(caller) + "/" + std::to_string(round);
            load_outcome outcome;
            outcome.tokens = 40;
            outcome.call = with_header(make_completion(name, {.tokens = 40}), "Idempotency-Key", name);
            send_until_whole(outcome, first, second);
            const std::scoped_lock lock(m_mutex);
            m_outcomes.push_back(std::move(outcome));
        }
    }

    /// Sends the request until its answer is complete. On a timeout, sets the error in the outcome, which the
    /// test checks.
    void send_until_whole(load_outcome& outcome, const http::endpoint& first, const http::endpoint& second) {
        try {
            wait_until("a complete answer", [&] {
                outcome.answer = call(++m_sent % 2 == 0 ? first : second, outcome.call);
                return outcome.answer.status == 200 && outcome.answer.is_complete;
            });
        } catch (const std::runtime_error& problem) {
            outcome.answer.error = problem.what();
        }
    }

    std::atomic<bool> m_stopping = false;
    std::atomic<unsigned> m_sent = 0;
    std::mutex m_mutex;
    std::vector<load_outcome> m_outcomes; ///< guarded by `m_mutex`
    std::vector<std::thread> m_threads;
};

} // namespace

// The entry and the sidecar of a long stream are asked to stop. Both must keep running until the stream ends.
TEST_CASE("6 graceful stop: entry and sidecar finish a running stream") {
    cluster system({.entries = 1, .backend_servers = {{.name = "pluma-1"}}});
    const auto call = make_completion("reporte de erosion", {.tokens = 200});
    pending_call stream(system.entry(0).callers, call);
    stream.wait_for_bytes(500);
    system.entry(0).process->terminate();
    system.backend(0).sidecar->terminate();
    check_complete_answer(stream.wait(), call, 200);
    CHECK(system.runs_of(call) == 1);
    CHECK(system.entry(0).process->wait_for_exit() == 0);
    CHECK(system.backend(0).sidecar->wait_for_exit() == 0);
}

// The entry and the sidecar of a request are asked to stop before the caller has received anything, because
// the answer isn't streamed. Both must deliver the answer first.
TEST_CASE("6 graceful stop: entry and sidecar finish an answer that is not streamed") {
    cluster system({.entries = 1, .backend_servers = {{.name = "pluma-1"}}});
    const auto call = make_completion("resumen", {.tokens = 100, .streamed = false});
    pending_call pending(system.entry(0).callers, call);
    static_cast<void>(system.wait_for_run(call));
    system.backend(0).sidecar->terminate();
    system.entry(0).process->terminate();
    const auto answer = pending.wait();
    CHECK(answer.status == 200);
    CHECK(answer.body.find(expected_text(call, 100)) != std::string::npos);
    CHECK(system.runs_of(call) == 1);
}

// Requests wait in the queue of a sidecar that is asked to stop. They have not begun, so the sidecar refuses
// them and the entry places them at another backend server. Their callers must not notice.
TEST_CASE("6 graceful stop: requests queued at a stopping sidecar are served elsewhere") {
    cluster system(
        {.entries = 1,
         .backend_servers = {{.name = "pluma-1", .slots = "1"}, {.name = "pluma-2", .slots = "1"}}});
    std::vector<http::request> calls;
    std::vector<std::unique_ptr<pending_call>> pending;
    for (int index = 0; index < 6; ++index) {
        calls.push_back(make_completion("espera " + std::to_string(index), {.tokens = 60}));
        pending.push_back(std::make_unique<pending_call>(system.entry(0).callers, calls.back()));
    }
    pending.front()->wait_for_bytes(100);
    system.backend(0).sidecar->terminate();
    for (std::size_t index = 0; index < calls.size(); ++index) {
        check_complete_answer(pending[index]->wait(), calls[index], 60);
        CHECK(system.runs_of(calls[index]) == 1);
    }
    CHECK(system.backend(0).sidecar->wait_for_exit() == 0);
}

// A second failure happens during a graceful stop: the connection on which the last answer is sent is reset
// while the entry and the sidecar are stopping.
TEST_CASE("6 graceful stop: connection reset while stopping") {
    cluster system({.entries = 1, .backend_servers = {{.name = "pluma-1"}}});
    const auto call = make_completion("parada y corte", {.tokens = 150});
    pending_call stream(system.entry(0).callers, call);
    stream.wait_for_bytes(500);
    system.entry(0).process->terminate();
    system.backend(0).sidecar->terminate();
    system.backend(0).link->cut(cut_kind::reset);
    check_complete_answer(stream.wait(), call, 150);
    CHECK(system.runs_of(call) == 1);
}

// All sidecars and entries are restarted one after the other while callers send requests. Each request must
// run once and be answered completely to its own caller.
TEST_CASE("6 graceful stop: rolling restart of all entries and sidecars under load") {
    cluster system({.backend_servers = {{.name = "pluma-1"}, {.name = "pluma-2"}, {.name = "pluma-3"}}});
    fault_proxy first(system.entry(0).callers, proxy_units::raw);
    fault_proxy second(system.entry(1).callers, proxy_units::raw);
    steady_load load(first.address(), second.address(), 6);
    const auto wait_for_answers = [&](std::size_t more) {
        const auto wanted = load.answered() + more;
        wait_until("further answers", [&] { return load.answered() >= wanted; });
    };
    wait_for_answers(6);
    for (std::size_t index = 0; index < system.backend_count(); ++index) {
        system.backend(index).sidecar->terminate();
        CHECK(system.backend(index).sidecar->wait_for_exit() == 0);
        system.start_sidecar(index);
        wait_for_answers(6);
    }
    for (std::size_t index = 0; index < 2; ++index) {
        system.entry(index).process->terminate();
        const auto exit_code = system.entry(index).process->wait_for_exit();
        INFO(system.entry(index).process->log_text());
        CHECK(exit_code == 0);
        system.start_entry(index);
        (index == 0 ? first : second).set_target(system.entry(index).callers);
        wait_for_answers(6);
    }
    const auto outcomes = load.finish();
    WARN(outcomes.size() << " requests over the restart");
    for (const auto& outcome : outcomes) {
        check_complete_answer(outcome.answer, outcome.call, outcome.tokens);
        CHECK(system.runs_of(outcome.call) == 1);
    }
}
