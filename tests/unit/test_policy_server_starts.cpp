// Which start of a backend server is the present one.
#include "policy/server_starts.hpp"

#include <catch2/catch.hpp>

using borageford::policy::server_starts;
using verdict = server_starts::verdict;

TEST_CASE("the last start that the store took is the present one, whatever its clock said",
          "[policy][server_starts]") {
    // The VM's clock was stepped back between two starts of an engine. Judged by the time, the new start
    // would look older than the dead one and never get a request.
    server_starts starts;
    CHECK(starts.take("engine", 2'000'000) == verdict::first);
    CHECK(starts.take("engine", 2'000'000) == verdict::same);
    CHECK(starts.take("engine", 1'000'000) == verdict::restarted);
    CHECK(starts.take("engine", 1'000'000) == verdict::same);
}

TEST_CASE("a start that was followed by another never comes back", "[policy][server_starts]") {
    // The last heartbeat of a crashed engine was slow on its way and is stored after the first one of the new
    // start. Taken for news, it would send requests to a process that is dead.
    server_starts starts;
    CHECK(starts.take("engine", 1) == verdict::first);
    CHECK(starts.take("engine", 2) == verdict::restarted);
    CHECK(starts.take("engine", 1) == verdict::superseded);
    CHECK(starts.take("engine", 3) == verdict::restarted);
    CHECK(starts.take("engine", 2) == verdict::superseded);
    starts.forget("engine");
    CHECK(starts.take("engine", 1) == verdict::superseded);
    CHECK(starts.take("engine", 3) == verdict::first); // it was away, and lives
    CHECK(starts.take("other", 1) == verdict::first);
}

TEST_CASE("servers that don't tell their start are known by their id alone", "[policy][server_starts]") {
    server_starts starts;
    CHECK(starts.take("old", 0) == verdict::first);
    CHECK(starts.take("old", 0) == verdict::same);
    CHECK(starts.take("old", 5) == verdict::restarted); // updated, it tells its start
    CHECK(starts.take("old", 0) == verdict::untold);    // somebody else wrote this
    CHECK(starts.take("old", 5) == verdict::same);
}

TEST_CASE("superseded starts are remembered within bounds", "[policy][server_starts]") {
    server_starts starts;
    for (std::uint64_t start = 1; start <= 10'000; ++start) {
        static_cast<void>(starts.take("restless", start));
    }
    CHECK(starts.take("restless", 9'999) == verdict::superseded);
    CHECK(starts.take("restless", 1) == verdict::restarted); // forgotten
}
