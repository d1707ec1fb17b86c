// Tests that gateways together keep to the retry budget while the process that grants retries changes.
#include "emulator/retry_excess.hpp"
#include "support/gateway_site.hpp"
#include "support/wait_until.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <cstddef>
#include <numeric>
#include <string>
#include <thread>
#include <vector>

using namespace borageford;
using namespace borageford::test;

namespace {

constexpr std::size_t gateway_count = 4;
constexpr std::size_t server_count = 2;
/// Without a ratio, the reserve is all that any window allows, however many calls the test sends.
constexpr emulator::retry_terms terms{.ratio = 0, .reserve = 56};

std::size_t count_arrivals(gateway_site& site) {
    return site.on_emulator([&site] {
        std::size_t result = 0;
        for (std::size_t server = 0; server < server_count; ++server) {
            result += static_cast<std::size_t>(site.backend(server).arrivals());
        }
        return result;
    });
}

/// Four gateways and two servers that refuse every call, so that each call is retried as often as the budget
/// allows. One caller for each gateway sends one call after the other.
class refused_load {
public:
    refused_load() : m_site(make_options()) {
        m_site.on_emulator([this] {
            for (std::size_t server = 0; server < server_count; ++server) {
                m_site.backend(server).set_fault(emulator::backend_fault::refuse);
            }
        });
    }

    [[nodiscard]] gateway_site& site() noexcept { return m_site; }

    /// Sends calls through the gateway until finish(), or until it no longer answers.
    void send_through(std::size_t gateway) {
        m_callers.emplace_back([this, gateway] {
            const auto name = std::to_string(++m_caller_count) + "-";
            for (int number = 0; !m_is_over; ++number) {
                if (m_site.send(gateway, make_call("/plain/x", name + std::to_string(number))).status == 0) {
                    return;
                }
            }
        });
    }
    /// Waits until the servers have got this many more calls.
    void wait_for_arrivals(std::size_t count) {
        const auto before = count_arrivals(m_site);
        wait_until("calls reach the servers", [&] { return count_arrivals(m_site) >= before + count; });
    }

    /// Ends the callers and returns the window with the most retries.
    emulator::retry_window finish() {
        m_is_over = true;
        m_callers.clear();
        std::vector<emulator::recorded_arrival> arrivals;
        m_site.on_emulator([&] {
            for (std::size_t server = 0; server < server_count; ++server) {
                std::ranges::copy(m_site.backend(server).arrived_requests(), std::back_inserter(arrivals));
            }
        });
        const auto worst = emulator::find_worst_retry_window(std::move(arrivals), {}, terms);
        REQUIRE(worst.has_value());
        return *worst;
    }

private:
    static site_options make_options() {
        auto options = plain_site(server_count, gateway_count);
        options.retry_reserve = terms.reserve;
        options.gateway_settings = "retry_ratio = 0\n";
        return options;
    }

    gateway_site m_site;
    std::atomic<bool> m_is_over = false;
    std::atomic<int> m_caller_count = 0;
    std::vector<std::jthread> m_callers;
};

std::vector<std::size_t> all_gateways() {
    std::vector<std::size_t> result(gateway_count);
    std::iota(result.begin(), result.end(), std::size_t{0});
    return result;
}

/// Calls that reach the servers while the next process uses up what it takes the budget to be.
constexpr std::size_t calls_of_each = 300;

} // namespace

TEST_CASE("gateway: retries keep to their budget while coordinators are killed one after the other",
          "[gateway][retry_budget]") {
    // All servers of a service fail, and two coordinators crash within one window. If each successor began
    // with a full reserve, the failing service would get a multiple of the retries that it is to be spared.
    refused_load load;
    auto gateways = all_gateways();
    for (const auto gateway : gateways) {
        load.send_through(gateway);
    }
    for (int lost = 0; lost < 2; ++lost) {
        const auto coordinator = wait_for_coordinator(load.site(), gateways);
        load.wait_for_arrivals(calls_of_each);
        load.site().process(coordinator).kill();
        std::erase(gateways, coordinator);
    }
    static_cast<void>(wait_for_coordinator(load.site(), gateways));
    load.wait_for_arrivals(calls_of_each);
    const auto worst = load.finish();
    CHECK(worst.retries > 0);
    CHECK(static_cast<double>(worst.retries) <= worst.allowed);
}

TEST_CASE("gateway: retries keep to their budget when a frozen coordinator comes back",
          "[gateway][retry_budget]") {
    // The coordinator's machine stands still until another process has taken over, and then goes on as if
    // nothing had happened.
    refused_load load;
    const auto gateways = all_gateways();
    for (const auto gateway : gateways) {
        load.send_through(gateway);
    }
    for (int frozen = 0; frozen < 2; ++frozen) {
        const auto coordinator = wait_for_coordinator(load.site(), gateways);
        load.wait_for_arrivals(calls_of_each);
        load.site().process(coordinator).freeze();
        auto others = gateways;
        std::erase(others, coordinator);
        static_cast<void>(wait_for_coordinator(load.site(), others));
        load.wait_for_arrivals(calls_of_each);
        load.site().process(coordinator).thaw();
    }
    load.wait_for_arrivals(calls_of_each);
    const auto worst = load.finish();
    CHECK(worst.retries > 0);
    CHECK(static_cast<double>(worst.retries) <= worst.allowed);
}

TEST_CASE("gateway: retries keep to their budget when all gateways are killed at once",
          "[gateway][retry_budget]") {
    // After a power failure no process knows how many retries were sent shortly before it.
    refused_load load;
    for (int power_failure = 0; power_failure < 2; ++power_failure) {
        for (const auto gateway : all_gateways()) {
            load.send_through(gateway);
        }
        load.wait_for_arrivals(calls_of_each);
        for (const auto gateway : all_gateways()) {
            load.site().process(gateway).kill();
        }
        for (const auto gateway : all_gateways()) {
            load.site().start_gateway(gateway);
        }
    }
    for (const auto gateway : all_gateways()) {
        load.site().wait_until_ready(gateway);
        load.send_through(gateway);
    }
    load.wait_for_arrivals(calls_of_each);
    const auto worst = load.finish();
    CHECK(worst.retries > 0);
    CHECK(static_cast<double>(worst.retries) <= worst.allowed);
}

TEST_CASE("gateway: without a retry budget no request reaches a second server", "[gateway][retry_budget]") {
    // Whatever may have arrived counts as a retry: a request whose connection was cut after it was sent, a
    // stream that is resumed, a request on a kept connection that the server closes.
    using emulator::backend_fault;
    auto options = plain_site(server_count);
    options.retry_reserve = 0;
    options.gateway_settings = "retry_ratio = 0\n";
    options.configuration = stream_configuration(true);
    options.backends = {engine_backend("server-0"), engine_backend("server-1")};
    gateway_site site(options);
    std::vector<emulator::recorded_arrival> arrivals;
    for (const auto fault :
         {backend_fault::none, backend_fault::error, backend_fault::refuse, backend_fault::cut_unanswered,
          backend_fault::cut_midway, backend_fault::cut_first_event, backend_fault::garble}) {
        site.on_emulator([&] {
            for (std::size_t server = 0; server < server_count; ++server) {
                site.backend(server).set_fault(fault);
            }
        });
        for (int number = 0; number < 5; ++number) {
            const auto id = std::to_string(static_cast<int>(fault)) + "-" + std::to_string(number);
            static_cast<void>(site.send(0, make_call("/stream/x", id)));
        }
    }
    site.on_emulator([&] {
        for (std::size_t server = 0; server < server_count; ++server) {
            std::ranges::copy(site.backend(server).arrived_requests(), std::back_inserter(arrivals));
        }
    });
    CHECK(arrivals.size() >= 5);
    CHECK_FALSE(emulator::find_worst_retry_window(arrivals, {}, terms).has_value());
}
