// Tests slot_coordinator with messages that a member which keeps to the protocol never sends.
#include "coordination/slot_coordinator.hpp"

#include <catch2/catch.hpp>

using namespace borageford;
using namespace borageford::coordination;
using namespace borageford::policy;
using namespace std::chrono_literals;

namespace {

constexpr service_key service = 7;
constexpr member_key member = 1;
const time_point start_time = time_point{} + 1h;

/// A coordinator without servers, at which one slot request waits.
class waiting_request {
public:
    waiting_request() { send_request(start_time); }

    void send_request(time_point arrived) {
        batch_items items;
        auto& request = items.asks.emplace_back();
        request.ticket = ticket;
        request.service = service;
        request.arrived = arrived;
        request.deadline = start_time + 10s;
        request.target = 500ms;
        send(items);
    }
    void send(const batch_items& items) { m_coordinator.apply_items(member, items, start_time); }
    /// The number of refusals after the request has waited too long.
    std::size_t refusals() {
        auto output = m_coordinator.decide(start_time + 5s);
        return output[member].refusals.size();
    }

    static constexpr slot_ticket ticket = 5;

private:
    slot_coordinator m_coordinator{{}, {}, {}};
};

} // namespace

TEST_CASE("a release of a slot request that still waits doesn't end the coordinator", "[coordination]") {
    // A gateway with a fault, or somebody else who sends datagrams, releases what was never granted. The
    // coordinator forgot the request, and read freed memory when its wait was over: all gateways lost their
    // coordinator.
    waiting_request site;
    batch_items items;
    items.releases.push_back({waiting_request::ticket, 0, slot_outcome::refused, {}, {}});
    site.send(items);
    CHECK(site.refusals() == 1);
}

TEST_CASE("a slot request that arrives twice is decided once", "[coordination]") {
    // Ages are rounded to milliseconds on their way, so the copy seems to have arrived at another time.
    waiting_request site;
    site.send_request(start_time + 1ms);
    CHECK(site.refusals() == 1);
    CHECK(site.refusals() == 0);
}
