// Tests that readers of a snapshot always get a consistent value, and the newest one at the time of the read.
#include "base/snapshot.hpp"

#include <catch2/catch.hpp>

#include <array>
#include <atomic>
#include <memory>
#include <optional>
#include <thread>
#include <vector>

using namespace borageford;

TEST_CASE("a read after a replacement gets the new value, and earlier readers keep theirs", "[snapshot]") {
    snapshot<int> current(1);
    const auto old = current.read();
    current.replace(2);
    CHECK(*old == 1);
    CHECK(*current.read() == 2);
    int seen_elsewhere = 0;
    std::jthread([&] { seen_elsewhere = *current.read(); }).join();
    CHECK(seen_elsewhere == 2);
}

TEST_CASE("a snapshot at the address of a destroyed one has its own value", "[snapshot]") {
    // An object with a snapshot is destroyed and a new one is created at the same address. A thread that used
    // the cached value of the destroyed snapshot would handle requests with an outdated configuration.
    std::optional<snapshot<int>> place;
    for (int round = 0; round < 20; ++round) {
        place.emplace(round);
        CHECK(*place->read() == round);
    }
}

TEST_CASE("more snapshots than cache entries keep their own values", "[snapshot]") {
    std::vector<std::unique_ptr<snapshot<int>>> all;
    all.reserve(40);
    for (int index = 0; index < 40; ++index) {
        all.push_back(std::make_unique<snapshot<int>>(index));
    }
    for (int round = 0; round < 2; ++round) {
        for (int index = 0; index < 40; ++index) {
            CHECK(*all[static_cast<std::size_t>(index)]->read() == index);
        }
    }
}

TEST_CASE("a replaced value is destroyed when its last reader releases it", "[snapshot]") {
    const auto tracked = std::make_shared<int>(1);
    snapshot<std::shared_ptr<int>> current(tracked);
    auto held = current.read();
    current.replace(nullptr);
    CHECK(*current.read() == nullptr);
    CHECK(tracked.use_count() == 2);
    held.reset();
    CHECK(tracked.use_count() == 1);
}

TEST_CASE("concurrent readers never get an older or a partly replaced value", "[snapshot]") {
    // Several threads read while another one replaces the value. A partly replaced or older value would make
    // one request be handled with two revisions of the configuration.
    struct pair {
        std::uint64_t first = 0;
        std::uint64_t second = 0;
    };
    constexpr std::uint64_t last = 2000;
    snapshot<pair> current(pair{});
    std::atomic<bool> has_failed = false;
    {
        std::vector<std::jthread> readers;
        readers.reserve(4);
        for (int reader = 0; reader < 4; ++reader) {
            readers.emplace_back([&] {
                std::uint64_t newest = 0;
                while (newest < last) {
                    const auto value = current.read();
                    if (value->first != value->second || value->first < newest) {
                        has_failed = true;
                    }
                    newest = value->first;
                }
            });
        }
        for (std::uint64_t number = 1; number <= last; ++number) {
            current.replace({number, number});
        }
    }
    CHECK_FALSE(has_failed);
}
