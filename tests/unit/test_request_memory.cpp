// Tests which requests an HTTP server ends when they hold too much memory together.
#include "http/request_memory.hpp"

#include <catch2/catch.hpp>

#include <deque>
#include <vector>

using namespace borageford::http;

TEST_CASE("request memory: the requests that hold most for longest are ended until the rest fits", "[http]") {
    request_memory memory(1000);
    std::vector<int> ended;
    std::deque<request_memory::account> accounts;
    for (int number = 0; number < 3; ++number) {
        accounts.emplace_back(memory, [&ended, number] { ended.push_back(number); });
    }
    accounts[0].update(500);
    accounts[0].complete();
    accounts[1].update(400);
    accounts[2].update(10);
    CHECK(ended.empty());
    accounts[2].update(200);
    CHECK(ended == std::vector<int>{1});
    accounts[2].update(501);
    CHECK(ended == std::vector<int>{1, 2});
    accounts[0].release();
    accounts[1].update(900);
    CHECK(ended.size() == 2);
}
