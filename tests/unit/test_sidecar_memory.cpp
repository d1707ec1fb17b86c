// Measures the heap memory of one ledger entry, one queued offer and one kept answer, for
// docs/design/sidecar.md. Each size is checked only against a generous bound. The test is hidden; run it
// with: unit_tests "[.measure]"
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

/// The mean number of heap bytes for each of the `entry_count` entries that `fill` creates.
double measure_entry(const std::function<void()>& fill) {
    const auto before = mallinfo2().uordblks + mallinfo2().hblkhd;
    fill();
    const auto after = mallinfo2().uordblks + mallinfo2().hblkhd;
    return static_cast<double>(after - before) / entry_count;
}

} // namespace

TEST_CASE("heap memory of one ledger entry, queued offer and kept answer of a sidecar", "[.measure]") {
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
