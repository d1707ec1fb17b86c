// What one entry costs in memory. Hidden: it prints figures for docs/design/sidecar.md and judges nothing but
// a generous bound. Run it with: unit_tests "[.measure]"
#include "ledger/dispatch_ledger.hpp"
#include "policy/offer_queue.hpp"
#include "sidecar/dispatch_store.hpp"

#include <catch2/catch.hpp>

#include <functional>
#include <iostream>
#include <malloc.h>
#include <memory>

using namespace borageford;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t entry_count = 100'000;

/// Heap bytes for one of many entries that `fill` makes.
double measure_entry(const std::function<void()>& fill) {
    const auto before = mallinfo2().uordblks + mallinfo2().hblkhd;
    fill();
    const auto after = mallinfo2().uordblks + mallinfo2().hblkhd;
    return static_cast<double>(after - before) / entry_count;
}

} // namespace

TEST_CASE("memory of a sidecar's entries", "[.measure]") {
    const ledger::time_point now = ledger::time_point{} + 1h;
    ledger::dispatch_ledger ledger({.retention = 1h, .entries = entry_count});
    const auto tombstone = measure_entry([&] {
        for (std::uint64_t index = 0; index < entry_count; ++index) {
            ledger.withdraw({1, index}, now);
        }
    });
    std::cout << "measure ledger_tombstone_bytes " << tombstone << '\n';
    CHECK(tombstone < 200);

    policy::offer_queue queue({.requests = entry_count, .tokens = UINT64_MAX});
    const auto queued = measure_entry([&] {
        for (std::uint64_t index = 0; index < entry_count; ++index) {
            policy::queued_offer offer;
            offer.dispatch = {1, index};
            offer.workspace = "haian";
            static_cast<void>(queue.put(std::move(offer), now));
        }
    });
    std::cout << "measure queued_offer_bytes " << queued << '\n';
    CHECK(queue.requests() == entry_count);
    CHECK(queued < 1000);

    sidecar::dispatch_store store({.kept_answers = entry_count});
    const auto record = measure_entry([&] {
        for (std::uint64_t index = 0; index < entry_count; ++index) {
            auto held = std::make_shared<sidecar::dispatch_record>();
            held->request.dispatch = {1, index};
            held->request.workspace = "haian";
            held->request.resend_key = index + 1;
            store.add(held);
            held->answer.end({});
            held->ended = now;
            store.keep(held, now);
        }
    });
    std::cout << "measure kept_record_bytes_without_body " << record << '\n';
    CHECK(record < 2000);
}
