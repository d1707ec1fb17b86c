// Tests of poll_role_choice: which gateways poll the store, and which learn of changes from other gateways.
// Also tests retained registrations that another gateway announced.
#include "policy/coordinator_election.hpp"
#include "policy/poll_role.hpp"
#include "policy/registration_watch.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <vector>

using namespace borageford::policy;
using namespace std::chrono_literals;

namespace {

const time_point start_time = time_point{} + 1h;

} // namespace

TEST_CASE("only some of hundreds of gateways poll the store", "[policy][poll_role]") {
    // If every gateway polled the store, each change of a server would cost one call per gateway, and an
    // outage several calls per second from each.
    constexpr member_key members = 300;
    int candidates = 0;
    int pollers = 0;
    for (member_key self = 1; self <= members; ++self) {
        coordinator_election election(self, 0.2, {}, start_time);
        for (member_key other = 1; other <= members; ++other) {
            election.record_heartbeat(other, {0.2, other == 1, true, false}, start_time);
        }
        const bool is_candidate = election.is_candidate(start_time);
        candidates += is_candidate ? 1 : 0;
        poll_role_choice choice(12, static_cast<double>(self - 1) / members);
        choice.record_announcement(start_time);
        pollers += choice.choose(is_candidate, members, start_time) == poll_role::poller ? 1 : 0;
    }
    CHECK(candidates == 3);
    // The store may stop answering the candidates without an error, so other gateways must poll too.
    CHECK(pollers >= 12);
    CHECK(pollers <= 15);
}

TEST_CASE("every gateway polls the store when there are few gateways or their number is unknown",
          "[policy][poll_role]") {
    poll_role_choice choice(12, 0.99);
    choice.record_announcement(start_time);
    CHECK(choice.choose(false, 12, start_time) == poll_role::poller);
    CHECK(choice.choose(false, 0, start_time) == poll_role::poller);
    CHECK(choice.choose(false, 13, start_time) == poll_role::passive);
}

TEST_CASE("a gateway polls the store itself once no gateway announces that the store answers it",
          "[policy][poll_role]") {
    // The polling gateways may be disconnected, or the store may refuse only them. The remaining gateways
    // would then never learn that a server has shut down.
    constexpr std::size_t members = 300;
    poll_role_choice choice(12, 0.5);
    CHECK(choice.choose(false, members, start_time) == poll_role::fallback);
    choice.record_announcement(start_time);
    CHECK(choice.choose(false, members, start_time + 500ms) == poll_role::passive);
    CHECK(choice.choose(true, members, start_time + 500ms) == poll_role::poller);
    CHECK(choice.choose(false, members, start_time + 2s) == poll_role::fallback);
}

TEST_CASE("a server that another gateway retains is removed here after the retention time",
          "[policy][registration_watch]") {
    // The server's registration disappeared in an outage of the store and the server didn't register again.
    // The gateway that polls the store retains the registration for a while and then removes the server,
    // which the store doesn't report as a change.
    registration_watch watch;
    watch.retain_registration("server", start_time);
    CHECK(watch.retained() == std::vector<std::string>{"server"});
    CHECK(watch.take_expired(start_time + 1s).empty());
    CHECK(watch.take_expired(start_time + 3s) == std::vector<std::string>{"server"});
}
