// Tests signals (graceful shutdown, reloading of the settings) and a log whose reader has stalled.
#include "support/gateway_site.hpp"
#include "support/wait_until.hpp"

#include <catch2/catch.hpp>

#include <csignal>
#include <string>

using namespace borageford;
using namespace borageford::test;

namespace {

site_options slow_site(std::chrono::milliseconds work) {
    site_options options;
    options.configuration = plain_configuration(routing::route_kind::non_idempotent);
    options.backends = {plain_backend("server-0")};
    options.backends.front().work = work;
    return options;
}

/// A call whose caller waits for a minute.
http::request patient_call(const std::string& id) {
    auto call = make_call("/plain/x", id);
    call.headers.back().value = "60000";
    return call;
}

std::size_t count_lines(const std::string& text, const std::string& word) {
    std::size_t lines = 0;
    for (auto at = text.find(word); at != std::string::npos; at = text.find(word, at + 1)) {
        ++lines;
    }
    return lines;
}

} // namespace

TEST_CASE("gateway: during a graceful shutdown it finishes running requests and serves new ones",
          "[gateway][stop]") {
    // A rolling restart. The load balancer needs some time to notice, and a request that is aborted, or
    // refused although it has run, could take effect twice or never.
    gateway_site site(slow_site(std::chrono::milliseconds(1500)));
    pending_call running(site.callers(0), make_call("/plain/x", "running"));
    wait_until("the request runs", [&] { return site.runs_of("running") == 1; });
    site.process(0).terminate();
    wait_until("the gateway isn't ready any more", [&] { return !site.is_ready(0); });
    const auto late = site.send(0, make_call("/plain/x", "late"));
    CHECK(late.status == 200);
    CHECK(late.header("Connection") == "close");
    const auto answer = running.wait();
    CHECK(answer.status == 200);
    CHECK(answer.is_complete);
    CHECK(site.process(0).wait_for_exit() == 0);
}

TEST_CASE("gateway: late in a graceful shutdown it still serves requests that end in time",
          "[gateway][stop]") {
    // All gateways of a small deployment are restarted in turn, and each still finishes a long stream when
    // the next is told to stop. If one refused everything once the balancer had noticed, callers would have
    // no gateway although it has seconds left.
    auto options = slow_site(std::chrono::milliseconds(20));
    options.gateway_settings = "stop_limit = 30s\n";
    gateway_site site(options);
    site.on_emulator([&] { site.backend(0).set_fault(emulator::backend_fault::hang, 1); });
    pending_call running(site.callers(0), make_call("/plain/x", "long"));
    wait_until("the long request runs", [&] { return site.runs_of("long") == 1; });
    site.process(0).terminate();
    // The gateway closes idle connections once the balancer must have noticed; this call returns then.
    CHECK(exchange_raw(site.callers(0), "", std::chrono::seconds(20)).empty());
    CHECK(site.send(0, make_call("/plain/x", "late")).status == 200);
    running.disconnect();
    CHECK(site.process(0).wait_for_exit() == 0);
}

TEST_CASE("gateway: requests that still run when a graceful shutdown must end are answered",
          "[gateway][stop]") {
    // Without an answer, callers can't tell whether the process or their connection has failed.
    auto options = slow_site(std::chrono::milliseconds(20));
    options.configuration.routes.front().timeout = std::chrono::seconds(60);
    options.configuration.routes.front().attempts = 1;
    options.backends.front().slots = 1;
    options.gateway_settings = "stop_limit = 3500ms\n";
    gateway_site site(options);
    site.on_emulator([&] { site.backend(0).set_fault(emulator::backend_fault::hang); });
    pending_call running(site.callers(0), patient_call("running"));
    wait_until("the request runs", [&] { return site.runs_of("running") == 1; });
    pending_call waiting(site.callers(0), patient_call("waiting"));
    site.process(0).terminate();
    const auto unknown = running.wait();
    CHECK(unknown.status == 502);
    CHECK(unknown.is_complete);
    const auto refused = waiting.wait();
    CHECK(refused.status == 503);
    CHECK_FALSE(refused.header("Retry-After").empty());
    CHECK(site.runs_of("waiting") == 0);
    CHECK(site.process(0).wait_for_exit() == 0);
}

TEST_CASE("gateway: late in a graceful shutdown it passes on no request that may not end in time",
          "[gateway][stop]") {
    // A request that is passed on and then cut may have run, and its caller can't send it again.
    auto options = slow_site(std::chrono::milliseconds(20));
    options.configuration.routes.front().timeout = std::chrono::seconds(60);
    options.gateway_settings = "stop_limit = 30s\n";
    gateway_site site(options);
    site.on_emulator([&] { site.backend(0).set_fault(emulator::backend_fault::hang, 1); });
    pending_call running(site.callers(0), patient_call("long"));
    wait_until("the long request runs", [&] { return site.runs_of("long") == 1; });
    site.process(0).terminate();
    // The gateway closes idle connections once the balancer must have noticed; this call returns then.
    CHECK(exchange_raw(site.callers(0), "", std::chrono::seconds(20)).empty());
    const auto refused = site.send(0, patient_call("late"));
    CHECK(refused.status == 503);
    CHECK_FALSE(refused.header("Retry-After").empty());
    CHECK(site.runs_of("late") == 0);
    CHECK(site.send(0, make_call("/plain/x", "short")).status == 200);
    running.disconnect();
    CHECK(site.process(0).wait_for_exit() == 0);
}

TEST_CASE("gateway: after a second stop signal it still finishes running requests", "[gateway][stop]") {
    // Two rolling restarts overlap, and the platform sends a second signal to a process that is already
    // shutting down. Exiting at once would abort requests that it was to finish.
    gateway_site site(slow_site(std::chrono::milliseconds(1500)));
    pending_call running(site.callers(0), make_call("/plain/x", "running"));
    wait_until("the request runs", [&] { return site.runs_of("running") == 1; });
    site.process(0).terminate();
    wait_until("the gateway isn't ready any more", [&] { return !site.is_ready(0); });
    site.process(0).terminate();
    const auto answer = running.wait();
    CHECK(answer.status == 200);
    CHECK(answer.is_complete);
    CHECK(site.process(0).wait_for_exit() == 0);
}

TEST_CASE("gateway: SIGHUP applies new settings and a faulty file changes nothing", "[gateway][stop]") {
    // An operator changes the settings of a running gateway. A typing error must not end the process or abort
    // a request.
    gateway_site site(slow_site(std::chrono::milliseconds(300)));
    pending_call running(site.callers(0), make_call("/plain/x", "running"));
    wait_until("the request runs", [&] { return site.runs_of("running") == 1; });
    site.write_settings(0, "stop_limit = 5s\n");
    ::kill(site.process(0).id(), SIGHUP);
    wait_until("the settings are read",
               [&] { return site.process(0).output_text().find("settings_reloaded") != std::string::npos; });
    site.write_settings(0, "stop_limit = soon\n");
    ::kill(site.process(0).id(), SIGHUP);
    wait_until("the faulty settings are refused", [&] {
        const auto text = site.process(0).output_text();
        return text.find("settings_refused") != std::string::npos &&
               text.find("stop_limit") != std::string::npos;
    });
    CHECK(running.wait().status == 200);
    CHECK(site.send(0, make_call("/plain/x", "after")).status == 200);
}

TEST_CASE("gateway: settings that change without a signal are read", "[gateway][stop]") {
    // Two gateways whose seeds don't answer go on granting the whole of each quota until they are told
    // others.
    gateway_site site(slow_site(std::chrono::milliseconds(0)));
    site.write_settings(0, "stop_limit = 5s\n");
    wait_until("the settings are read", [&] { return site.has_logged(0, "settings_reloaded"); });
    site.write_settings(0, "stop_limit = soon\n");
    wait_until("the faulty settings are refused", [&] { return site.has_logged(0, "settings_refused"); });
}

TEST_CASE("gateway: a log that nobody reads loses lines but no requests", "[gateway][logs]") {
    // The log collector hangs and the pipe is full. A process that waited for it would stop serving all its
    // callers.
    gateway_site site(slow_site(std::chrono::milliseconds(0)));
    // A pipe holds 64 KiB; each forwarded request writes two lines of about 300 bytes, and each refused
    // request writes one.
    std::uint64_t lost = 0;
    for (int round = 0; lost == 0 && round < 200; ++round) {
        for (int index = 0; index < 100; ++index) {
            static_cast<void>(site.send(0, make_call("/elsewhere", std::string(2000, 'x'))));
        }
        const auto text = fetch_text(site.metrics(0), "/metrics");
        const std::string name = "\nborageford_gateway_lost_log_lines ";
        lost = std::stoull(text.substr(text.find(name) + name.size()));
    }
    CHECK(lost > 0);
    CHECK(site.send(0, make_call("/plain/x", "served")).status == 200);
}

TEST_CASE("gateway: the volume of its log is limited while requests are refused", "[gateway][logs]") {
    // A caller sends many requests for a path that doesn't exist. Writing a line for each would cost more
    // than refusing them.
    gateway_site site(slow_site(std::chrono::milliseconds(0)));
    std::string many;
    for (int index = 0; index < 3000; ++index) {
        many += "GET /elsewhere HTTP/1.1\r\nHost: site.example\r\nRequest-Id: r\r\n";
        many += index == 2999 ? "Connection: close\r\n\r\n" : "\r\n";
    }
    const auto answers = exchange_raw(site.callers(0), many, hang_timeout);
    CHECK(count_lines(answers, "HTTP/1.1 404") == 3000);
    // Each refusal has its own line or is counted in a later one.
    wait_until("every refusal is logged or counted", [&] {
        const auto text = site.process(0).output_text();
        const bool has_left_out = text.find("\"left_out\":") != std::string::npos;
        // Omitted lines are only counted in the next line that is written, so one more request is needed.
        static_cast<void>(site.send(0, make_call("/elsewhere", "one more")));
        return count_lines(text, "request_refused") == 3000 || has_left_out;
    });
    CHECK(count_lines(site.process(0).output_text(), "request_refused") >= 100);
}
