// Tests requests at backend servers that restart under the same id.
#include "support/gateway_site.hpp"
#include "support/wait_until.hpp"

#include <catch2/catch.hpp>

#include <chrono>
#include <string>
#include <thread>

using namespace borageford;
using namespace borageford::test;
using emulator::backend_fault;

namespace {

emulator::backend_options start_of(const std::string& id, std::uint64_t start) {
    auto options = plain_backend(id);
    options.start = start;
    return options;
}

site_options one_server(routing::route_kind kind) {
    site_options options;
    options.configuration = plain_configuration(kind);
    options.backends = {start_of("server", 1)};
    return options;
}

void wait_for_run(gateway_site& site, const std::string& request) {
    wait_until("the previous start runs the request", [&] { return site.runs_of(request) == 1; });
}

/// Returns the answer to a request at a server that stops responding when it receives the request and then
/// restarts.
caller_result answer_over_restart(gateway_site& site, const std::string& request) {
    site.on_emulator([&] { site.backend(0).set_fault(backend_fault::hang, 1); });
    caller_result answer;
    std::jthread caller([&] { answer = site.send(0, make_call("/plain/x", request)); });
    wait_for_run(site, request);
    site.start_backend(0, start_of("server", 2));
    caller.join();
    return answer;
}

} // namespace

TEST_CASE("gateway: a request at a server that restarted is retried at once", "[gateway][restart]") {
    // A server crashed during a network partition: no connection was reset, and the new start doesn't know
    // the request. The caller waited on the dead connection until its deadline.
    gateway_site site(one_server(routing::route_kind::idempotent));
    CHECK(answer_over_restart(site, "lost").status == 200);
    CHECK(site.runs_of("lost", 0) == 1); // at the new start
    wait_until("the restart is logged", [&] { return site.has_logged(0, R"("event":"backend_restarted")"); });
}

TEST_CASE("gateway: a non-idempotent call isn't retried on the new start", "[gateway][restart]") {
    // The previous start may have done the work before it crashed. The caller is told at once that the
    // outcome is unknown.
    gateway_site site(one_server(routing::route_kind::non_idempotent));
    CHECK(answer_over_restart(site, "once").status == 502);
    CHECK(site.runs_of("once") == 1);
    CHECK(site.send(0, make_call("/plain/x", "next")).status == 200);
}

TEST_CASE("gateway: rows of other writers don't affect callers", "[gateway][restart]") {
    // Another program writes into the table of servers: invalid bytes, and a row that resembles a server
    // except for its state. Requests were sent to that address and waited for an answer.
    gateway_site site(one_server(routing::route_kind::idempotent));
    CHECK(site.send(0, make_call("/plain/x", "before")).status == 200);
    site.on_emulator([&] {
        store::transaction change;
        change.puts.push_back({"servers/bytes", std::string("\xff\xfe\x00{", 4)});
        change.puts.push_back({"servers/state", R"({"service":"plain","address":"127.0.0.1:9","zone":"a",
                                                    "slots":500,"state":"paused","cold_remaining_ms":0})"});
        static_cast<void>(site.store().rows().transact(change));
    });
    wait_until("both rows are logged", [&] {
        return site.has_logged(0, R"("backend":"bytes")") && site.has_logged(0, R"("backend":"state")");
    });
    for (int index = 0; index < 20; ++index) {
        CHECK(site.send(0, make_call("/plain/x", "after-" + std::to_string(index))).status == 200);
    }
    CHECK(site.process(0).output_text().find(R"("backend":"state","service")") == std::string::npos);
}
