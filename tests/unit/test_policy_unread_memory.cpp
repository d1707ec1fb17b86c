// Tests how much is held for callers that read slowly, and whose connections are ended when it is too much.
#include "policy/unread_memory.hpp"

#include <catch2/catch.hpp>

#include <deque>
#include <vector>

using namespace borageford::policy;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t mebibyte = 1U << 20;
constexpr unread_memory::time_point start{1h};

/// Callers of whose connections the ended ones are listed in the order of their ends.
struct callers {
    explicit callers(std::size_t count, std::size_t total = 16 * mebibyte)
        : memory(unread_limits{.total = total}) {
        for (std::size_t index = 0; index < count; ++index) {
            accounts.emplace_back(memory, [this, index] { ended.push_back(index); });
        }
    }

    /// Holds as much as there is room for, as when a server sends faster than the caller reads.
    void fill(std::size_t index, std::size_t piece = 4096) {
        auto& account = accounts.at(index);
        while (account.has_room()) {
            account.update({account.held().unread + piece, 0}, 0, start);
        }
    }

    unread_memory memory;
    std::deque<unread_account> accounts;
    std::vector<std::size_t> ended;
};

} // namespace

TEST_CASE("unread memory: without a bound each caller may hold as much as before", "[unread_memory]") {
    callers some(2, 0);
    some.fill(0);
    CHECK(some.accounts[0].held().unread == unread_memory::default_share + 4096);
    CHECK(some.accounts[1].has_room());
    CHECK_FALSE(some.accounts[0].may_resume());
    some.accounts[0].update({}, 300000, start + 1s);
    CHECK(some.accounts[0].may_resume());
    some.memory.relieve(start + 1h);
    CHECK(some.ended.empty());
}

TEST_CASE("unread memory: one slow caller gets much, thousands stay below the bound together",
          "[unread_memory]") {
    callers crowd(3000, 22 * mebibyte);
    crowd.fill(0);
    CHECK(crowd.accounts[0].held().unread > 2 * mebibyte);
    for (std::size_t index = 1; index < crowd.accounts.size(); ++index) {
        crowd.fill(index);
    }
    // Each caller may exceed its share by the piece that was being read.
    CHECK(crowd.memory.held() < 22 * mebibyte + 3000 * (unread_memory::smallest_share + 4096));
    crowd.memory.relieve(start + 2s);
    CHECK(crowd.memory.held() <= 22 * mebibyte);
    CHECK(crowd.memory.has_room_for_requests());
    CHECK(crowd.ended.front() == 0);
}

TEST_CASE("unread memory: a caller that reads well is never cut, however much is held for it",
          "[unread_memory]") {
    callers both(2, mebibyte);
    both.accounts[0].update({900'000, 0}, 0, start);
    both.accounts[1].update({200'000, 0}, 0, start);
    // In two seconds the first has taken 20 MB, the second 1 KB.
    both.accounts[0].update({900'000, 0}, 20'000'000, start + 2s);
    both.accounts[1].update({200'000, 0}, 1000, start + 2s);
    both.memory.relieve(start + 2s);
    CHECK(both.ended == std::vector<std::size_t>{1});
}

TEST_CASE("unread memory: of slow callers those with the most bytes for the longest time are cut first",
          "[unread_memory]") {
    callers three(3, mebibyte);
    three.accounts[0].update({100'000, 0}, 0, start);
    three.accounts[1].update({900'000, 0}, 0, start);
    three.accounts[2].update({400'000, 0}, 0, start + 1s);
    three.memory.relieve(start + 3s);
    CHECK(three.ended == std::vector<std::size_t>{1});
    CHECK(three.memory.held() == 500'000);
}

TEST_CASE("unread memory: nobody is cut before it has been slow for a while", "[unread_memory]") {
    callers two(2, mebibyte);
    two.accounts[0].update({900'000, 0}, 0, start);
    two.accounts[1].update({900'000, 0}, 0, start);
    two.memory.relieve(start + 500ms);
    CHECK(two.ended.empty());
}

TEST_CASE("unread memory: a request that is answered counts, and isn't taken for slow reading",
          "[unread_memory]") {
    callers one(1, mebibyte);
    one.accounts[0].update({0, 2 * mebibyte}, 0, start);
    CHECK_FALSE(one.memory.has_room_for_requests());
    CHECK(one.memory.count_slow(start + 1h) == 0);
    one.memory.relieve(start + 1h);
    CHECK(one.ended.empty());
}

TEST_CASE("unread memory: of incomplete requests those that held most for longest are ended, not the newest",
          "[unread_memory]") {
    const bool is_stated = GENERATE(true, false);
    std::vector<std::size_t> ended;
    unread_memory memory({.total = is_stated ? mebibyte : 0, .arriving = mebibyte});
    std::deque<unread_account> accounts;
    for (std::size_t index = 0; index < 3; ++index) {
        accounts.emplace_back(memory, [&ended, index] { ended.push_back(index); });
    }
    accounts[0].update({.arriving = 300'000}, 0, start);
    accounts[1].update({.arriving = 500'000}, 0, start + 1s);
    memory.relieve_arriving(start + 2s);
    CHECK(ended.empty());
    accounts[2].update({.arriving = 300'000}, 0, start + 2s);
    memory.relieve_arriving(start + 3s);
    CHECK(ended == std::vector<std::size_t>{1});
    CHECK(memory.has_room_for_requests());
}

TEST_CASE("unread memory: requests that arrive aren't ended for what others hold", "[unread_memory]") {
    callers two(2, mebibyte);
    two.accounts[0].update({.other = 2 * mebibyte}, 0, start);
    two.accounts[1].update({.arriving = mebibyte / 5}, 0, start);
    two.memory.relieve(start + 1h);
    CHECK(two.ended.empty());
    two.accounts[1].update({.arriving = mebibyte / 3}, 0, start + 1h);
    two.memory.relieve(start + 1h);
    CHECK(two.ended == std::vector<std::size_t>{1});
}

TEST_CASE("unread memory: reading goes on once well under the share is held", "[unread_memory]") {
    callers one(1);
    one.fill(0);
    CHECK_FALSE(one.accounts[0].may_resume());
    one.accounts[0].update({mebibyte, 0}, 2 * mebibyte, start + 100ms);
    CHECK(one.accounts[0].may_resume());
    CHECK(one.accounts[0].unread_for(start + 400ms) == 300ms);
}
