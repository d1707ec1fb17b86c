// Tests that a stream goes on only at servers of the software version that began it, within one answer and
// when its caller resumes it with another request.
#include "emulator/event_text.hpp"
#include "platform/header_field_names.hpp"
#include "policy/slot_request.hpp"
#include "support/gateway_site.hpp"
#include "support/wait_until.hpp"

#include <catch2/catch.hpp>

#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace borageford;
using namespace borageford::test;
using namespace std::chrono_literals;

namespace {

using emulator::backend_fault;

constexpr unsigned output_tokens = 24; ///< six events

emulator::backend_options engine_of(const std::string& id, const std::string& software) {
    auto options = engine_backend(id);
    options.version = software;
    return options;
}

/// Gateways with two servers of "v1", which have even indexes, and two of "v2". `attempts` is the route's.
site_options site_with_two_versions(std::size_t gateways, unsigned attempts) {
    site_options options;
    options.gateways = gateways;
    options.configuration = stream_configuration(true);
    options.configuration.routes.front().attempts = attempts;
    for (std::size_t index = 0; index < 4; ++index) {
        options.backends.push_back(
            engine_of("engine-" + std::to_string(index), index % 2 == 0 ? "v1" : "v2"));
    }
    return options;
}

/// Gateways with two servers of "v1", and a route with a single attempt.
site_options site_with_one_version(std::size_t gateways) {
    auto options = site_with_two_versions(gateways, 1);
    options.backends = {engine_of("engine-0", "v1"), engine_of("engine-1", "v1")};
    return options;
}

http::request stream_call(const std::string& id) {
    auto call = make_call("/stream/x", id);
    call.headers.push_back({platform::header_field_names().tokens, "10," + std::to_string(output_tokens)});
    return call;
}

void set_fault(gateway_site& site, backend_fault fault, unsigned count) {
    site.on_emulator([&] { site.visit_backends([&](auto& server) { server.set_fault(fault, count); }); });
}

bool is_whole(const std::string& events) {
    for (unsigned number = 1; number <= output_tokens / 4; ++number) {
        const auto id = "id: " + std::to_string(number) + "\n";
        if (events.find(id) == std::string::npos || events.find(id) != events.rfind(id)) {
            return false;
        }
    }
    return true;
}

/// The complete events of a stream that broke off.
std::string complete_events(const std::string& body) {
    const auto end = body.rfind("\n\n");
    return end == std::string::npos ? "" : body.substr(0, end + 2);
}

/// Begins a stream at a gateway that breaks off after its first event, and returns that event.
std::string begin_broken_stream(gateway_site& site, std::size_t gateway, const std::string& id) {
    set_fault(site, backend_fault::cut_midway, 1);
    const auto answer = site.send(gateway, stream_call(id));
    set_fault(site, backend_fault::none, 0);
    REQUIRE(answer.status == 200);
    REQUIRE_FALSE(answer.is_complete);
    REQUIRE_FALSE(emulator::software_in(complete_events(answer.body)).empty());
    return complete_events(answer.body);
}

/// The request with which a caller resumes the stream that the request `begun` began, after one event.
http::request resuming_call(const std::string& id, const std::string& begun) {
    auto call = stream_call(id);
    call.headers.push_back({platform::header_field_names().last_event, "1"});
    call.headers.push_back({platform::header_field_names().resumed_request, begun});
    return call;
}

constexpr int streams = 12; ///< enough that each version begins some

/// A gauge of a gateway; 0 if it has none of this name.
int read_gauge(const gateway_site& site, std::size_t gateway, const std::string& name) {
    const auto text = fetch_text(site.metrics(gateway), "/metrics");
    const auto line = "\n" + name + " ";
    const auto at = text.find(line);
    return at == std::string::npos ? 0 : std::stoi(text.substr(at + line.size()));
}

int requests_in_progress(const gateway_site& site, std::size_t gateway) {
    return read_gauge(site, gateway, "borageford_gateway_requests_in_progress");
}

/// Sends a request through the first gateway that hangs at a server. The server has just failed several, so
/// it gets one at a time.
std::unique_ptr<pending_call> occupy_server(gateway_site& site, std::size_t server) {
    set_fault(site, backend_fault::hang, 1);
    const auto before = site.arrivals_at(server);
    auto call = std::make_unique<pending_call>(site.callers(0), stream_call("hangs"));
    wait_until("the server has the request", [&] { return site.arrivals_at(server) > before; });
    return call;
}

/// The index of a server of this version, of the first two.
std::size_t server_of(const std::string& software) {
    return software == "v1" ? 0 : 1;
}

/// Takes both servers of a version out of use.
void drain_version(gateway_site& site, const std::string& software) {
    for (const auto server : {server_of(software), server_of(software) + 2}) {
        const auto id = site.on_emulator([&] { return site.backend(server).options().id; });
        site.register_backend(server, "draining");
        // backend_draining is the only event with these two fields in succession.
        wait_until("the server drains",
                   [&] { return site.has_logged(0, R"("backend":")" + id + R"(","era")"); });
    }
}

/// The versions in the parts of a stream that its caller has got.
std::size_t versions_in(const std::string& first, const caller_result& rest) {
    return emulator::software_in(first + (rest.status == 200 ? rest.body : "")).size();
}

/// Begins streams at a gateway until one has begun at this version; returns its id and its first event.
std::pair<std::string, std::string> begin_at_version(gateway_site& site, std::size_t gateway,
                                                     const std::string& software) {
    for (int number = 0;; ++number) {
        const auto id = "stream-" + std::to_string(number);
        const auto first = begin_broken_stream(site, gateway, id);
        if (emulator::software_in(first).contains(software)) {
            return {id, first};
        }
    }
}

} // namespace

TEST_CASE("gateway: a stream that breaks off goes on only at the software version that began it",
          "[gateway][stream_software]") {
    // Each server breaks off one stream after its first event. The gateway resumes the stream within the same
    // answer; on a server of another version, the caller would get parts that don't fit together.
    gateway_site site(site_with_two_versions(1, 3));
    for (int number = 0; number < streams; ++number) {
        set_fault(site, backend_fault::cut_midway, 1);
        const auto answer = site.send(0, stream_call("stream-" + std::to_string(number)));
        CHECK(answer.is_complete);
        CHECK(is_whole(answer.body));
        CHECK(emulator::software_in(answer.body).size() == 1);
    }
}

TEST_CASE("gateway: a stream that its caller resumes goes on at the software version that began it",
          "[gateway][stream_software]") {
    // The caller's next request may reach the same gateway or another one, which hasn't seen the stream.
    // Servers of another version have room, while the only one of the stream's version takes no more for a
    // moment.
    auto options = site_with_one_version(3);
    options.backends = {engine_of("old", "v1")};
    gateway_site site(options);
    static_cast<void>(wait_for_coordinator(site, {0, 1, 2}));
    std::vector<std::string> begun;
    begun.reserve(3);
    for (std::size_t gateway = 0; gateway < 3; ++gateway) {
        begun.push_back(begin_broken_stream(site, 0, "stream-" + std::to_string(gateway)));
    }
    auto occupying = occupy_server(site, 0);
    site.start_backend(1, engine_of("new", "v2"));
    std::vector<std::unique_ptr<pending_call>> resumed;
    for (std::size_t gateway = 0; gateway < 3; ++gateway) {
        wait_until("the new server is known",
                   [&] { return site.has_logged(gateway, R"("backend":"new","service")"); });
        const auto before = requests_in_progress(site, gateway);
        const auto id = std::to_string(gateway);
        resumed.push_back(std::make_unique<pending_call>(site.callers(gateway),
                                                         resuming_call("rest-" + id, "stream-" + id)));
        wait_until("the request waits", [&] {
            return resumed.back()->is_finished() || requests_in_progress(site, gateway) > before;
        });
    }
    occupying.reset();
    for (std::size_t gateway = 0; gateway < 3; ++gateway) {
        const auto rest = resumed[gateway]->wait();
        CHECK(rest.is_complete);
        CHECK(is_whole(begun[gateway] + rest.body));
        CHECK(emulator::software_in(begun[gateway] + rest.body).size() == 1);
    }
}

TEST_CASE("gateway: a stream is resumed after the gateway that began it was killed",
          "[gateway][stream_software]") {
    // The other gateways have been told which version began it. The killed gateway's next process asks them.
    gateway_site site(site_with_two_versions(3, 1));
    static_cast<void>(wait_for_coordinator(site, {0, 1, 2}));
    std::vector<std::string> begun;
    begun.reserve(streams);
    for (int number = 0; number < streams; ++number) {
        begun.push_back(begin_broken_stream(site, 0, "stream-" + std::to_string(number)));
    }
    for (const std::size_t other : {1, 2}) {
        wait_until("the streams are told",
                   [&] { return read_gauge(site, other, "borageford_gateway_known_streams") == streams; });
    }
    site.process(0).kill();
    site.start_gateway(0);
    site.wait_until_ready(0);
    for (int number = 0; number < streams; ++number) {
        const auto id = std::to_string(number);
        const auto rest =
            site.send(static_cast<std::size_t>(number) % 3, resuming_call("rest-" + id, "stream-" + id));
        CHECK(rest.is_complete);
        CHECK(is_whole(begun[static_cast<std::size_t>(number)] + rest.body));
        CHECK(emulator::software_in(begun[static_cast<std::size_t>(number)] + rest.body).size() == 1);
    }
}

TEST_CASE("gateway: a stream isn't resumed at another version when its own has left",
          "[gateway][stream_software]") {
    gateway_site site(site_with_two_versions(1, 1));
    const auto first = begin_broken_stream(site, 0, "stream");
    drain_version(site, *emulator::software_in(first).begin());
    const auto rest = site.send(0, resuming_call("rest", "stream"));
    CHECK(rest.status == 503);
    CHECK(rest.body.find("no_backend_server") != std::string::npos);
    CHECK(site.runs_of("rest") == 0);
    // New streams go to the other version meanwhile.
    CHECK(site.send(0, stream_call("new")).is_complete);
}

TEST_CASE("gateway: a stream whose version isn't known is refused as not run", "[gateway][stream_software]") {
    // The caller names a stream that began nowhere, or names none.
    gateway_site site(site_with_two_versions(2, 1));
    static_cast<void>(wait_for_coordinator(site, {0, 1}));
    static_cast<void>(begin_broken_stream(site, 0, "stream"));
    const auto names = platform::header_field_names();
    std::vector<http::header_fields> fields{
        {{names.last_event, "1"}, {names.resumed_request, "never-sent"}},
        {{names.last_event, "1"}},
        {{names.last_event, "1"}, {names.resumed_request, ""}},
        {{names.last_event, "1"}, {names.resumed_request, std::string(10000, 'x')}},
        {{names.resumed_request, "never-sent"}},
    };
    for (std::size_t index = 0; index < fields.size(); ++index) {
        auto call = stream_call("unknown-" + std::to_string(index));
        call.headers.insert(call.headers.end(), fields[index].begin(), fields[index].end());
        const auto answer = site.send(index % 2, call);
        INFO(index);
        CHECK(answer.status == 503);
        CHECK(answer.body.find("stream_unknown") != std::string::npos);
        CHECK_FALSE(answer.header("Retry-After").empty());
        CHECK(site.runs_of("unknown-" + std::to_string(index)) == 0);
    }
    const auto resumed = names.resumed_request + ": stream\r\n";
    const auto answer = exchange_raw(site.callers(0),
                                     "POST /stream/x HTTP/1.1\r\nHost: site.example\r\n" + names.request_id +
                                         ": twice\r\n" + names.last_event + ": 1\r\n" + resumed + resumed +
                                         "Connection: close\r\nContent-Length: 0\r\n\r\n",
                                     2s);
    CHECK(answer.find("stream_unknown") != std::string::npos);
    CHECK(site.runs_of("twice") == 0);
}

TEST_CASE("gateway: with one software version any stream may be resumed", "[gateway][stream_software]") {
    // A gateway that has known all servers since the system's first start needn't be told anything.
    gateway_site site(site_with_one_version(2));
    static_cast<void>(wait_for_coordinator(site, {0, 1}));
    CHECK(site.send(1, resuming_call("rest", "unknown")).is_complete);
    CHECK(site.has_logged(1, R"("known_by":"one_version")"));
}

TEST_CASE("gateway: after all gateways were killed a stream goes on if there has been one version only",
          "[gateway][stream_software]") {
    // None of the new processes knows what was there before. The store has a record of the versions.
    gateway_site site(site_with_one_version(2));
    static_cast<void>(wait_for_coordinator(site, {0, 1}));
    wait_until("the versions are recorded", [&] {
        return site.on_emulator([&] { return site.store().rows().read("software/versions").has_value(); });
    });
    for (const std::size_t gateway : {0, 1}) {
        site.process(gateway).kill();
    }
    for (const std::size_t gateway : {0, 1}) {
        site.start_gateway(gateway);
        site.wait_until_ready(gateway);
    }
    CHECK(site.send(0, resuming_call("rest", "stream")).is_complete);

    // With a second version, even if it has left before the next start, it would be a guess.
    site.start_backend(1, engine_of("other", "v2"));
    wait_until("the other version is recorded", [&] {
        const auto row = site.on_emulator([&] { return site.store().rows().read("software/versions"); });
        return row->value.find(std::to_string(policy::software_key_of("v2"))) != std::string::npos;
    });
    site.unregister_backend(1);
    for (const std::size_t gateway : {0, 1}) {
        site.process(gateway).kill();
    }
    site.start_gateway(0);
    site.wait_until_ready(0);
    const auto refused = site.send(0, resuming_call("rest-2", "stream"));
    CHECK(refused.status == 503);
    CHECK(refused.body.find("stream_unknown") != std::string::npos);
}

TEST_CASE("gateway: a stream isn't resumed at the version that replaced its own while all gateways were down",
          "[gateway][stream_software]") {
    // Guards against taking the only version that is there after a start for the one that was recorded.
    gateway_site site(site_with_one_version(2));
    static_cast<void>(wait_for_coordinator(site, {0, 1}));
    wait_until("the versions are recorded", [&] {
        return site.on_emulator([&] { return site.store().rows().read("software/versions").has_value(); });
    });
    const auto first = begin_broken_stream(site, 0, "stream");
    for (const std::size_t gateway : {0, 1}) {
        site.process(gateway).kill();
    }
    for (const std::size_t server : {0, 1}) {
        site.unregister_backend(server);
        site.start_backend(server + 2, engine_of("new-" + std::to_string(server), "v2"));
    }
    for (const std::size_t gateway : {0, 1}) {
        site.start_gateway(gateway);
        site.wait_until_ready(gateway);
        const auto rest = site.send(gateway, resuming_call("rest-" + std::to_string(gateway), "stream"));
        CHECK(versions_in(first, rest) == 1);
    }
    CHECK(site.send(0, stream_call("another")).is_complete);
}

TEST_CASE("gateway: a gateway that stood still doesn't take the version that it knows for the only one",
          "[gateway][stream_software]") {
    // Guards against resuming a stream at another version while a gateway hasn't learned of the stream's own.
    constexpr std::size_t gateways = 5;
    constexpr std::size_t other = 0;
    for (std::size_t still = 1; still < gateways; ++still) {
        auto options = site_with_one_version(gateways);
        options.backends = {engine_of("engine-0", "v1")};
        options.gateway_settings = "store_followers = 0\n";
        gateway_site site(options);
        static_cast<void>(wait_for_coordinator(site, {0, 1, 2, 3, 4}));
        site.process(still).freeze();
        site.start_backend(1, engine_of("engine-1", "v2"));
        wait_until("the other gateway uses the new version",
                   [&] { return site.has_logged(other, R"("backend":"engine-1")"); });
        const auto [id, first] = begin_at_version(site, other, "v2");
        site.process(still).thaw();
        const auto rest = site.send(still, resuming_call("rest", id));
        INFO("gateway " << still);
        CHECK(versions_in(first, rest) == 1);
    }
}

TEST_CASE("gateway: before its first event a stream may go to any software version",
          "[gateway][stream_software]") {
    // Nothing of the stream has reached the caller, so there is nothing that another version can't go on
    // with.
    gateway_site site(site_with_two_versions(1, 3));
    site.on_emulator([&] {
        site.backend(0).set_fault(backend_fault::cut_first_event);
        site.backend(2).set_fault(backend_fault::cut_first_event);
    });
    for (int number = 0; number < streams; ++number) {
        const auto answer = site.send(0, stream_call("stream-" + std::to_string(number)));
        CHECK(answer.is_complete);
        CHECK(emulator::software_in(answer.body) == std::set<std::string, std::less<>>{"v2"});
    }
}

TEST_CASE("gateway: a server that registers another version between grant and first event",
          "[gateway][stream_software]") {
    // Which of the two versions has written the event isn't certain. The stream must not go on at either of
    // them.
    site_options options;
    options.configuration = stream_configuration(true);
    options.backends = {engine_of("engine-0", "v1")};
    options.backends.front().engine->setup_ms = 1500; // time to register before the first event
    gateway_site site(options);
    site.on_emulator([&] { site.backend(0).set_fault(backend_fault::cut_midway); });
    pending_call stream(site.callers(0), stream_call("stream"));
    wait_until("the server has the request", [&] { return site.runs_of("stream") == 1; });
    site.register_software(0, "v2");
    wait_until("the registration is read", [&] { return site.has_logged(0, R"("software":"v2")"); });
    const auto answer = stream.wait();
    CHECK_FALSE(answer.is_complete);
    CHECK(site.runs_of("stream") == 1);
    CHECK(site.send(0, resuming_call("rest", "stream")).status == 503);
}

TEST_CASE("gateway: a resumed stream stays at its version during a roll-out", "[gateway][stream_software]") {
    // The order withholds the new version from new requests; a stream that it has begun is not lost for that.
    gateway_site site(site_with_two_versions(1, 1));
    std::string first;
    std::string id;
    for (int number = 0; emulator::software_in(first) != std::set<std::string, std::less<>>{"v2"}; ++number) {
        id = "stream-" + std::to_string(number);
        first = begin_broken_stream(site, 0, id);
    }
    site.order_rollout({"engines", "v2", 60s});
    wait_until("the new version is withheld", [&] { return site.has_logged(0, "backend_held_back"); });
    const auto rest = site.send(0, resuming_call("rest", id));
    CHECK(rest.is_complete);
    CHECK(emulator::software_in(first + rest.body).size() == 1);
}

TEST_CASE("gateway: a stream that breaks off late is resumed", "[gateway][stream_software]") {
    // The request arrived long ago, and its target is about its first event, which the caller has had. The
    // caller waits for the next event as long as it would wait for a first one.
    site_options options;
    options.configuration = stream_configuration(true);
    options.configuration.routes.front().latency_target = 100ms;
    options.backends = {engine_of("engine-0", "v1"), engine_of("engine-1", "v1")};
    gateway_site site(options);
    auto call = make_call("/stream/x", "long");
    call.headers.push_back({platform::header_field_names().tokens, "10,400"});
    pending_call stream(site.callers(0), call);
    stream.wait_for_bytes(1500); // some 45 events, which take longer than the longest wait for a slot
    site.stop_backend(site.runs_of("long", 0) == 1 ? 0 : 1);
    const auto answer = stream.wait();
    CHECK(answer.is_complete);
    CHECK(site.has_logged(0, R"("known_by":"answer")"));
}

TEST_CASE("gateway: a stream of a route to two services goes on at the service that began it",
          "[gateway][stream_software]") {
    // The route draws a service for each request, also for one that resumes a stream. Each service has one
    // version.
    auto options = site_with_one_version(2);
    options.configuration.services.push_back({"others", "/healthz", 96, std::nullopt});
    options.configuration.routes.front().services.push_back({1, 1});
    options.backends = {engine_of("engine-0", "v1"), engine_of("other-0", "w1")};
    options.backends.back().service = "others";
    gateway_site site(options);
    static_cast<void>(wait_for_coordinator(site, {0, 1}));
    for (int number = 0; number < streams; ++number) {
        const auto id = std::to_string(number);
        const auto first = begin_broken_stream(site, 0, "stream-" + id);
        wait_until("the stream is told",
                   [&] { return read_gauge(site, 1, "borageford_gateway_known_streams") > number; });
        // A server that broke off several streams takes one request at a time for a while.
        caller_result rest;
        wait_until("the stream is resumed", [&] {
            rest = site.send(1, resuming_call("rest-" + id, "stream-" + id));
            return rest.is_complete && rest.status == 200;
        });
        CHECK(is_whole(first + rest.body));
        CHECK(emulator::software_in(first + rest.body).size() == 1);
    }
}
