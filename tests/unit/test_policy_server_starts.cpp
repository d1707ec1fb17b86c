// Tests of server_starts: which start (process incarnation) of a backend server is the current one.
#include "policy/server_starts.hpp"

#include <catch2/catch.hpp>

using borageford::policy::server_starts;
using verdict = server_starts::verdict;

TEST_CASE("the start that the store received last is the current one, whatever start time it states",
          "[policy][server_starts]") {
    // The VM's clock was stepped back between two starts of an engine. Ordered by their start times, the new
    // start would look older than the dead one and never get a request.
    server_starts starts;
    CHECK(starts.take("engine", 2'000'000) == verdict::first);
    CHECK(starts.take("engine", 2'000'000) == verdict::same);
    CHECK(starts.take("engine", 1'000'000) == verdict::restarted);
    CHECK(starts.take("engine", 1'000'000) == verdict::same);
}

TEST_CASE("a start that was followed by another one never becomes current again", "[policy][server_starts]") {
    // The last heartbeat of a crashed engine is delayed and stored after the first one of its new start.
    // Applied as a new registration, it would send requests to a dead process.
    server_starts starts;
    CHECK(starts.take("engine", 1) == verdict::first);
    CHECK(starts.take("engine", 2) == verdict::restarted);
    CHECK(starts.take("engine", 1) == verdict::superseded);
    CHECK(starts.take("engine", 3) == verdict::restarted);
    CHECK(starts.take("engine", 2) == verdict::superseded);
    starts.forget("engine");
    CHECK(starts.take("engine", 1) == verdict::superseded);
    CHECK(starts.take("engine", 3) == verdict::first); // the current start registers again
    CHECK(starts.take("other", 1) == verdict::first);
}

TEST_CASE("servers that don't state their start are identified by their id alone",
          "[policy][server_starts]") {
    server_starts starts;
    CHECK(starts.take("old", 0) == verdict::first);
    CHECK(starts.take("old", 0) == verdict::same);
    CHECK(starts.take("old", 5) == verdict::restarted); // after an update, the server states its start
    CHECK(starts.take("old", 0) == verdict::unstated);  // not written by the server itself
    CHECK(starts.take("old", 5) == verdict::same);
}

TEST_CASE("the number of remembered superseded starts is bounded", "[policy][server_starts]") {
    server_starts starts;
    for (std::uint64_t start = 1; start <= 10'000; ++start) {
        static_cast<void>(starts.take("restless", start));
    }
    CHECK(starts.take("restless", 9'999) == verdict::superseded);
    CHECK(starts.take("restless", 1) == verdict::restarted); // no longer remembered
}
