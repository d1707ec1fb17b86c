// Requirement 5: a backend server that is shutting down or drained gets no new work after a few seconds,
// whichever way the entries learn of it.
#include "support/checks.hpp"
#include "support/cluster.hpp"
#include "support/completion.hpp"
#include "support/wait_until.hpp"

#include <catch2/catch.hpp>

#include <string>

using namespace borageford;
using namespace borageford::test;

namespace {

constexpr std::size_t leaving = 0;
constexpr int batch_size = 8;
/// By chance, one batch may be placed entirely at other servers. The probability of four such batches in a
/// row is less than one in a million.
constexpr int batches_in_a_row = 4;

/// Sends `batch_size` requests with different prompts through both entries in turn. Checks that all are
/// answered.
void send_batch(cluster& system, const std::string& name) {
    for (int index = 0; index < batch_size; ++index) {
        const auto call = make_completion(name + std::to_string(index), {.tokens = 3});
        check_complete_answer(system.send(index % 2, call), call, 3);
    }
}

/// Waits until several batches in a row were placed at other servers, then checks that further batches are
/// too.
void check_gets_no_new_work(cluster& system) {
    int round = 0;
    wait_until("batches placed at other servers", [&] {
        const auto before = system.server_count(leaving, "total");
        for (int batch = 0; batch < batches_in_a_row; ++batch) {
            send_batch(system, "ronda " + std::to_string(round++) + " ");
        }
        return system.server_count(leaving, "total") == before;
    });
    const auto before = system.server_count(leaving, "total");
    for (int index = 0; index < 3; ++index) {
        send_batch(system, "despues " + std::to_string(index) + " ");
    }
    CHECK(system.server_count(leaving, "total") == before);
}

/// Waits until the server gets work. Without this, a later check that it gets no work would prove nothing.
void check_gets_work(cluster& system) {
    const auto before = system.server_count(leaving, "total");
    int round = 0;
    wait_until("work at the server", [&] {
        send_batch(system, "antes " + std::to_string(round++) + " ");
        return system.server_count(leaving, "total") > before;
    });
}

} // namespace

// The sidecar is asked to stop. It must inform its entries at once, and refuse requests that are still
// offered to it.
TEST_CASE("5 leaving: by SIGTERM") {
    cluster system;
    check_gets_work(system);
    auto& link = *system.backend(leaving).link;
    link.arm(direction::down, is_message<wire::leaving_message>(), fault::pass);
    system.backend(leaving).sidecar->terminate();
    link.wait_for_fault();
    check_gets_no_new_work(system);
    CHECK(system.backend(leaving).sidecar->wait_for_exit() == 0);
}

// The platform's list of VMs shows that the VM is shutting down, one second late.
TEST_CASE("5 leaving: by the platform's lagging list") {
    cluster system;
    check_gets_work(system);
    system.control_platform(R"({"vm_lag_ms":1000})");
    system.publish_vms("vm-pluma-1", "leaving");
    check_gets_no_new_work(system);
}

// An operator drains the backend server by the configuration.
TEST_CASE("5 leaving: by an operator's drain") {
    cluster system;
    check_gets_work(system);
    system.commit("", "pluma-1");
    check_gets_no_new_work(system);
}

// The VM disappears without a message: its connections stay open but nothing arrives on them, and new
// connections fail. Requests must not wait for the VM.
TEST_CASE("5 leaving: by an unresponsive VM") {
    cluster system;
    check_gets_work(system);
    auto& link = *system.backend(leaving).link;
    link.set_refusing(true);
    link.drop(direction::up);
    link.drop(direction::down);
    check_gets_no_new_work(system);
}

// Two failures at the same time: the sidecar's message that it shuts down is lost with its connection, and
// the platform, whose list of VMs would show it, is unavailable. The entries must learn it from the handshake
// of the new connection.
TEST_CASE("5 leaving: the message is lost while the platform is unavailable") {
    cluster system;
    check_gets_work(system);
    const auto running = make_completion("largo", {.tokens = 400});
    pending_call stream(system.entry(0).callers, running);
    stream.wait_for_bytes(300);
    auto& link = *system.backend(leaving).link;
    link.arm(direction::down, is_message<wire::leaving_message>(), fault::lose);
    system.control_platform(R"({"outage":true})");
    system.backend(leaving).sidecar->terminate();
    link.wait_for_fault();
    check_gets_no_new_work(system);
    check_complete_answer(stream.wait(), running, 400);
}
