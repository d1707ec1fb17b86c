// Running a test's own event loop until something is so.
#pragma once

#include "support/wait_until.hpp"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

namespace borageford::test {

template <typename Condition>
void run_until(boost::asio::io_context& context, Condition condition) {
    while (!condition()) {
        // The guard decides nothing: it ends a test that would hang.
        REQUIRE(context.run_one_for(hang_guard) > 0);
    }
}

} // namespace borageford::test
