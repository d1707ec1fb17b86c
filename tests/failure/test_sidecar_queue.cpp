// Tests a sidecar whose engine has no free slot, that is asked to stop, that was frozen, or that receives a
// damaged frame or wrong settings.
#include "support/cluster.hpp"
#include "support/completion.hpp"
#include "support/http_caller.hpp"
#include "support/sidecar_driver.hpp"

#include <catch2/catch.hpp>

using namespace borageford;
using namespace borageford::test;

namespace {

/// An engine with one slot, so that a second request has to wait.
cluster_options one_slot(const std::string& sidecar_settings = {}) {
    return {.entries = 0,
            .backend_servers = {{.name = "pluma-1",
                                 .arguments = {"--output-tokens-per-second", "100"},
                                 .slots = "1"}},
            .sidecar_settings = sidecar_settings};
}

/// Offers and starts the request, and waits for the head of its answer.
dispatch_id begin_run(const sidecar_driver& driver, peer_client& entry, const http::request& work) {
    const auto dispatch = driver.offer(entry, work);
    driver.grant_and_start(entry, dispatch, work);
    entry.wait_for<wire::answer_head_message>(dispatch);
    return dispatch;
}

void acknowledge(peer_client& entry, const dispatch_id& dispatch) {
    wire::acknowledge_message message;
    message.dispatch = wire::to_wire(dispatch);
    entry.send(message);
}

} // namespace

// A burst of requests fills the queue. A request of a higher tier must not be refused while one of a lower
// tier waits. The displaced request must not run, even if its start message arrives.
TEST_CASE("sidecar: a higher tier displaces a lower one in a full queue and the displaced request never runs",
          "[sidecar]") {
    cluster system(one_slot("queue_requests = 1\n"));
    sidecar_driver driver(system);
    auto entry = driver.connect();
    const auto running = make_completion("corre", {.tokens = 60});
    const auto low = make_completion("bajo", {.tokens = 5});
    const auto high = make_completion("alto", {.tokens = 5});
    const auto first = begin_run(driver, entry, running);
    const auto low_offer = driver.offer(entry, low, {.tier = 2});
    CHECK(entry.wait_for<wire::offer_reply_message>(low_offer).verdict == wire::offer_verdict::queued);
    const auto high_offer = driver.offer(entry, high, {.tier = 0});
    CHECK(entry.wait_for<wire::offer_reply_message>(high_offer).verdict == wire::offer_verdict::queued);
    const auto refusal = entry.wait_for<wire::not_begun_message>(low_offer);
    CHECK(wire::error_kind_from_wire(refusal.error_kind) == error_kind::overloaded);
    CHECK(refusal.retry_after_ms > 0);
    const auto refused = driver.offer(entry, low, {.tier = 2});
    CHECK(entry.wait_for<wire::offer_reply_message>(refused).verdict == wire::offer_verdict::refused);
    // A start message of the displaced request arrives, because the entry had not read the refusal yet.
    driver.start(entry, low_offer, low);
    entry.wait_for<wire::not_begun_message>(low_offer);
    driver.grant_and_start(entry, high_offer, high);
    CHECK_FALSE(driver.read_answer(entry, high_offer).end.failed);
    CHECK(entry.has<wire::answer_end_message>(first));
    CHECK(system.runs_of(low) == 0);
    CHECK(system.runs_of(high) == 1);
}

// An entry dies while its offer waits in the queue. The offer must be removed, so that other requests are
// served.
TEST_CASE("sidecar: offers of a closed connection are removed from the queue", "[sidecar]") {
    cluster system(one_slot());
    sidecar_driver driver(system);
    auto entry = driver.connect();
    const auto running = make_completion("corre", {.tokens = 40});
    const auto orphan = make_completion("huerfano", {.tokens = 5});
    const auto next = make_completion("siguiente", {.tokens = 5});
    begin_run(driver, entry, running);
    {
        auto dying = driver.connect();
        const auto offer = driver.offer(dying, orphan);
        dying.wait_for<wire::offer_reply_message>(offer);
    }
    const auto offer = driver.offer(entry, next);
    driver.grant_and_start(entry, offer, next);
    CHECK_FALSE(driver.read_answer(entry, offer).end.failed);
    CHECK(system.runs_of(orphan) == 0);
}

// The deadline of a request passes while the request waits in the queue. The request must be refused at once,
// not when it would be granted.
TEST_CASE("sidecar: a queued offer that can't meet its deadline any more is refused at once", "[sidecar]") {
    cluster system(one_slot());
    sidecar_driver driver(system);
    auto entry = driver.connect();
    const auto first = begin_run(driver, entry, make_completion("largo", {.tokens = 3000}));
    const auto late = driver.offer(entry, make_completion("plazo", {.tokens = 5}), {.deadline_ms = 50});
    const auto refusal = entry.wait_for<wire::not_begun_message>(late);
    CHECK(wire::error_kind_from_wire(refusal.error_kind) == error_kind::deadline_unreachable);
    CHECK(refusal.retry_after_ms > 0);
    CHECK_FALSE(entry.has<wire::answer_end_message>(first));
}

// The VM is taken out of service. Running requests must be finished and delivered. Waiting requests must be
// refused as not run, so that their entries can place them elsewhere.
TEST_CASE("sidecar: asked to stop, it finishes running requests and refuses waiting ones", "[sidecar]") {
    cluster system(one_slot());
    sidecar_driver driver(system);
    auto entry = driver.connect();
    const auto running = make_completion("termina", {.tokens = 60});
    const auto waiting = make_completion("espera", {.tokens = 5});
    const auto first = begin_run(driver, entry, running);
    const auto second = driver.offer(entry, waiting);
    entry.wait_for<wire::offer_reply_message>(second);
    system.backend(0).sidecar->terminate();
    entry.wait_for<wire::leaving_message>();
    const auto refusal = entry.wait_for<wire::not_begun_message>(second);
    CHECK(wire::error_kind_from_wire(refusal.error_kind) == error_kind::draining);
    const auto third = driver.offer(entry, waiting);
    const auto reply = entry.wait_for<wire::offer_reply_message>(third);
    CHECK(reply.verdict == wire::offer_verdict::refused);
    CHECK(wire::error_kind_from_wire(reply.error_kind) == error_kind::draining);
    const auto answer = driver.read_answer(entry, first);
    CHECK_FALSE(answer.end.failed);
    CHECK(answer.end.total_length > 0);
    // If the last part of the answer was lost, another connection can still read it.
    auto other = driver.connect();
    CHECK(other.hello().leaving);
    driver.attach(other, first, 0);
    CHECK(text_of_stream(driver.read_answer(other, first).body) == expected_text(running, 60));
    CHECK(system.backend(0).sidecar->is_running());
    acknowledge(other, first);
    CHECK(system.backend(0).sidecar->wait_for_exit() == 0);
    CHECK(system.runs_of(waiting) == 0);
}

// An operator who doesn't want to wait for the last stream asks the sidecar to stop a second time.
TEST_CASE("sidecar: asked to stop twice, it ends at once", "[sidecar]") {
    cluster system(one_slot());
    sidecar_driver driver(system);
    auto entry = driver.connect();
    begin_run(driver, entry, make_completion("eterno", {.tokens = 3000}));
    system.backend(0).sidecar->terminate();
    entry.wait_for<wire::leaving_message>();
    system.backend(0).sidecar->terminate();
    CHECK(system.backend(0).sidecar->wait_for_exit() == 130);
}

// The sidecar was frozen while a newer configuration revision drained its backend server. A start message
// that had waited in the socket must not be run under the old revision.
TEST_CASE("sidecar: after a freeze it verifies its revision before it starts or grants anything",
          "[sidecar]") {
    cluster system(one_slot("grant_lease = 30s\n"));
    sidecar_driver driver(system);
    auto entry = driver.connect();
    const auto work = make_completion("congelado", {.tokens = 5});
    const auto dispatch = driver.offer(entry, work);
    entry.wait_for<wire::grant_message>(dispatch);
    system.backend(0).sidecar->freeze();
    driver.start(entry, dispatch, work);
    system.commit("", "pluma-1");
    const auto frozen_at = std::chrono::steady_clock::now();
    wait_until("the freeze to be longer than the detection threshold", [&] {
        return std::chrono::steady_clock::now() - frozen_at > std::chrono::milliseconds(1200);
    });
    system.backend(0).sidecar->thaw();
    const auto refusal = entry.wait_for<wire::not_begun_message>(dispatch);
    const auto kind = wire::error_kind_from_wire(refusal.error_kind);
    CHECK(answer_for(kind).ran == run_state::no);
    CHECK(system.runs_of(work) == 0);
}

// A frame is damaged between two processes. Its connection must be closed, because its further content can't
// be trusted. The sidecar and its other connections must keep working.
TEST_CASE("sidecar: a damaged frame closes its connection and no other", "[sidecar]") {
    cluster system(one_slot());
    sidecar_driver driver(system);
    auto entry = driver.connect();
    auto damaged = driver.connect();
    system.backend(0).link->arm(direction::up, is_message<wire::offer_message>(), fault::corrupt);
    const auto work = make_completion("intacto", {.tokens = 5});
    const auto lost = driver.offer(damaged, make_completion("dañado", {.tokens = 5}));
    system.backend(0).link->wait_for_fault();
    const auto dispatch = driver.offer(entry, work);
    driver.grant_and_start(entry, dispatch, work);
    CHECK(text_of_stream(driver.read_answer(entry, dispatch).body) == expected_text(work, 5));
    CHECK_FALSE(damaged.has<wire::grant_message>(lost));
}

// The settings file has several errors. The sidecar must report all of them at once and not start.
TEST_CASE("sidecar: wrong settings are all shown and end it with exit code 2", "[sidecar]") {
    cluster system(one_slot());
    const auto file =
        system.write_file("wrong.ini", "[process]\nvm = x\nfailure_domain = sala-a\nregion = occidente\n"
                                       "[platform]\naddress = nowhere\n[sidecar]\n"
                                       "backend_server = pluma-1\nqueue_requests = none\nqeue = 1\n"
                                       "order_timeout = 20s\n");
    const auto log = system.write_file("wrong.log", "");
    child_process sidecar(std::filesystem::path(BORAGEFORD_PROGRAM_FOLDER) / "borageford",
                          {"sidecar", "--settings", file.string()}, log);
    CHECK(sidecar.wait_for_exit() == 2);
    const auto text = sidecar.log_text();
    for (const auto* key :
         {"platform.address", "sidecar.queue_requests", "sidecar.qeue", "sidecar.peers_listen",
          "sidecar.status_listen", "sidecar.backend_address", "sidecar.order_timeout"}) {
        CHECK_THAT(text, Catch::Contains(key));
    }
}
