// Tests that engines aren't sent more requests than their memory takes, as real engines crash then.
#include "platform/header_field_names.hpp"
#include "support/gateway_site.hpp"
#include "support/wait_until.hpp"

#include <catch2/catch.hpp>

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

using namespace borageford;
using namespace borageford::test;

namespace {

constexpr unsigned status_ok = 200;
constexpr unsigned status_too_large = 413;
constexpr std::uint64_t memory_tokens = 10000;

http::request call_with_prompt(const std::string& id, unsigned prompt) {
    auto call = make_call("/stream/x", id);
    call.headers.push_back({platform::header_field_names().tokens, std::to_string(prompt) + ",20"});
    return call;
}

/// Gateways and engines with slots for eight requests each, and memory for three with long prompts.
site_options memory_site(std::size_t engines, std::size_t gateways) {
    site_options options;
    options.gateways = gateways;
    options.configuration = stream_configuration(true);
    options.configuration.services.front().engine = routing::engine_profile{8, memory_tokens, 4};
    options.configuration.routes.front().latency_target = routing::milliseconds(4000);
    for (std::size_t index = 0; index < engines; ++index) {
        options.backends.push_back(engine_backend("engine-" + std::to_string(index)));
        options.backends.back().engine->memory_tokens = static_cast<double>(memory_tokens);
    }
    return options;
}

} // namespace

TEST_CASE("gateway: engines aren't sent more than their memory takes", "[gateway][engine_memory]") {
    // Their slots would take five times as many long prompts.
    gateway_site site(memory_site(2, 2));
    static_cast<void>(wait_for_coordinator(site, {0, 1}));
    constexpr std::size_t call_count = 16;
    std::vector<std::unique_ptr<pending_call>> calls;
    calls.reserve(call_count);
    for (std::size_t number = 0; number < call_count; ++number) {
        calls.push_back(std::make_unique<pending_call>(
            site.callers(number % 2), call_with_prompt("long-" + std::to_string(number), 3000)));
    }
    for (const auto& call : calls) {
        CHECK(call->wait().status == status_ok);
    }
    CHECK(site.count_crashes() == 0);
}

TEST_CASE("gateway: a prompt larger than every engine's memory is refused and not sent",
          "[gateway][engine_memory]") {
    gateway_site site(memory_site(1, 1));
    CHECK(site.send(0, call_with_prompt("large", memory_tokens + 1)).status == status_too_large);
    CHECK(site.runs_of("large") == 0);
    CHECK(site.count_crashes() == 0);
    CHECK(site.send(0, call_with_prompt("fits", memory_tokens / 2)).status == status_ok);
}
