// Readers always hold a whole value, and the newest that was there when they asked.
#include "base/snapshot.hpp"

#include <catch2/catch.hpp>

#include <array>
#include <atomic>
#include <memory>
#include <optional>
#include <thread>
#include <vector>

using namespace borageford;

TEST_CASE("a read after a replacement gets the new value, and a handle keeps the old one", "[snapshot]") {
    snapshot<int> current(1);
    const auto old = current.read();
    current.replace(2);
    CHECK(*old == 1);
    CHECK(*current.read() == 2);
    int seen_elsewhere = 0;
    std::jthread([&] { seen_elsewhere = *current.read(); }).join();
    CHECK(seen_elsewhere == 2);
}

TEST_CASE("a snapshot in the place of a former one isn't taken for it", "[snapshot]") {
    // A part of the process is taken down and built again at the same address. A thread that took the former
    // snapshot's value for the new one's would serve by a configuration that isn't in force.
    std::optional<snapshot<int>> place;
    for (int round = 0; round < 20; ++round) {
        place.emplace(round);
        CHECK(*place->read() == round);
    }
}

TEST_CASE("more snapshots than cache slots keep their values apart", "[snapshot]") {
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

TEST_CASE("a value is released when nobody holds it any more", "[snapshot]") {
    const auto tracked = std::make_shared<int>(1);
    snapshot<std::shared_ptr<int>> current(tracked);
    auto held = current.read();
    current.replace(nullptr);
    CHECK(*current.read() == nullptr);
    CHECK(tracked.use_count() == 2);
    held.reset();
    CHECK(tracked.use_count() == 1);
}

TEST_CASE("readers never see a value go back or in parts", "[snapshot]") {
    // Threads read while another replaces. A value seen in parts or out of order would let one request be
    // judged by two revisions.
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
                    const auto taken = current.read();
                    if (taken->first != taken->second || taken->first < newest) {
                        has_failed = true;
                    }
                    newest = taken->first;
                }
            });
        }
        for (std::uint64_t number = 1; number <= last; ++number) {
            current.replace({number, number});
        }
    }
    CHECK_FALSE(has_failed);
}
