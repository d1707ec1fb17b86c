// Tests that a stream goes on only at servers of the software version that began it, within one answer and
// when its caller resumes it with another request.
#include "emulator/event_text.hpp"
#include "platform/header_field_names.hpp"
#include "support/gateway_site.hpp"
#include "support/wait_until.hpp"

#include <catch2/catch.hpp>

#include <chrono>
#include <cstddef>
#include <memory>
#include <set>
#include <string>
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

http::request stream_call(const std::string& id) {
    auto call = make_call("/stream/x", id);
    call.headers.push_back({platform::header_field_names().tokens, "10," + std::to_string(output_tokens)});
    return call;
}

void set_fault(gateway_site& site, backend_fault fault, unsigned count) {
    site.on_emulator([&] { site.visit_backends([&](auto& server) { server.set_fault(fault, count); }); });
}

bool is_whole(const std::string& events) {
    std::string expected;
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
    site_options options;
    options.gateways = 3;
    options.configuration = stream_configuration(true);
    options.configuration.routes.front().attempts = 1;
    options.backends = {engine_of("old", "v1")};
    gateway_site site(options);
    static_cast<void>(wait_for_coordinator(site, {0, 1, 2}));
    std::vector<std::string> begun;
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
