// Runs the event loop of a unit test until a condition holds.
#pragma once

#include "support/wait_until.hpp"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

namespace borageford::test {

/// Runs handlers until the condition holds. Fails the test when no handler runs for `hang_timeout`.
template <typename Condition>
void run_until(boost::asio::io_context& context, Condition condition) {
    while (!condition()) {
        // The limit only ends a test that would hang; no result depends on it.
        REQUIRE(context.run_one_for(hang_timeout) > 0);
    }
}

} // namespace borageford::test
