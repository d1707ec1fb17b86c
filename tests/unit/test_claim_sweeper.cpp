// Tests of the rows of claims, and of claim_sweeper and the epochs with which it measures the age of claims.
#include "base/timer_service.hpp"
#include "entry/claim_epochs.hpp"
#include "entry/claim_store.hpp"
#include "entry/claim_sweeper.hpp"
#include "support/wait_until.hpp"
#include "unit/in_process_platform.hpp"

#include <catch2/catch.hpp>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

using namespace borageford;
using namespace borageford::entry;
using borageford::test::in_process_platform;
using borageford::test::platform_timeout;
using borageford::test::test_runtime;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

/// With so many claims, at least one is read by almost every sweep, whose position is random.
constexpr std::size_t claim_count = 16;
/// Sweeps after which all claims have been read.
constexpr std::size_t sweep_count = 100;

/// Entries that share the claims of one table.
class claims_site {
public:
    ~claims_site() {
        m_sweepers.clear();
        m_runtime.stop();
    }
    claims_site() = default;
    claims_site(const claims_site&) = delete;
    claims_site& operator=(const claims_site&) = delete;
    claims_site(claims_site&&) = delete;
    claims_site& operator=(claims_site&&) = delete;

    /// Writes claims with this time in their rows.
    void write_claims(std::int64_t time) {
        claim_store claims(m_runtime.executor(), m_table, milliseconds(0), platform_timeout);
        for (std::size_t index = 0; index < claim_count; ++index) {
            claim wanted;
            wanted.dispatch = dispatch_id::random();
            wanted.time = time;
            const auto result =
                m_runtime.wait_for(claims.try_claim("taller", "key-" + std::to_string(index), wanted));
            REQUIRE(std::holds_alternative<claim_written>(result));
        }
    }

    void start_sweeper(milliseconds retention) {
        const claim_sweeper_settings settings{.retention = retention, .period = milliseconds(1)};
        m_sweepers.push_back(
            std::make_unique<claim_sweeper>(m_runtime.executor(), m_timers, m_table, settings));
        m_sweepers.back()->start();
    }

    [[nodiscard]] std::size_t claims_left() {
        return m_runtime.wait_for(m_table.scan(claim_prefix, "", 2 * claim_count)).size();
    }
    [[nodiscard]] in_process_platform& platform() { return m_platform; }
    /// Writes a row, whatever version it has.
    void write_row(std::string_view key, std::string value) {
        const auto row = m_runtime.wait_for(m_table.read(key));
        store::transaction change;
        change.conditions.push_back({std::string(key), row ? row->version : 0});
        change.puts.push_back({std::string(key), std::move(value)});
        REQUIRE(m_runtime.wait_for(m_table.transact(change)).committed);
    }

private:
    in_process_platform m_platform;
    test_runtime m_runtime;
    timer_service m_timers;
    store::table m_table{m_runtime.executor(), m_platform.address(), platform_timeout};
    std::vector<std::unique_ptr<claim_sweeper>> m_sweepers;
};

constexpr std::chrono::hours day{24};

} // namespace

// The clocks of two entries differ by more than the retention time. The one whose clock is ahead removed the
// new claims of the other, and a call that was sent again ran a second time.
TEST_CASE("a new claim isn't removed by an entry whose clock is ahead", "[claim]") {
    claims_site site;
    const std::chrono::seconds ahead = day + std::chrono::hours(1);
    site.write_claims(claim_time_now() - ahead.count());
    site.start_sweeper(day);
    test::wait_until("the sweeps", [&] { return site.platform().scans() >= sweep_count; });
    CHECK(site.claims_left() == claim_count);
}

TEST_CASE("claims are removed after the retention time, whichever entry sweeps", "[claim]") {
    claims_site site;
    constexpr milliseconds retention{240};
    const auto claimed = steady_clock::now();
    const std::chrono::seconds ahead = day;
    site.write_claims(claim_time_now() + ahead.count());
    site.start_sweeper(retention);
    site.start_sweeper(retention);
    test::wait_until("the removal of the claims", [&] { return site.claims_left() == 0; });
    CHECK(steady_clock::now() - claimed >= retention);
}

// Somebody has damaged the row with the epochs. If entries gave up then, claims would fill the table.
TEST_CASE("claims are removed although the row with the epochs was damaged", "[claim]") {
    claims_site site;
    site.write_row(claim_epochs_key, R"({"earlier":[9,3]})");
    site.write_claims(claim_time_now());
    site.start_sweeper(milliseconds(24));
    test::wait_until("the removal of the claims", [&] { return site.claims_left() == 0; });
}

TEST_CASE("an epoch ends only when one entry has seen the whole of it", "[claim]") {
    claim_epoch_timer timer(std::chrono::hours(24));
    const auto begin = steady_clock::now();
    const std::chrono::hours epoch = day / epochs_per_retention;
    CHECK(timer.is_over(0, begin)); // there is no epoch yet
    CHECK_FALSE(timer.is_over(7, begin));
    CHECK_FALSE(timer.is_over(7, begin + epoch - milliseconds(1)));
    CHECK(timer.is_over(7, begin + epoch));
    CHECK_FALSE(timer.is_over(8, begin + epoch)); // another entry was faster
    CHECK(timer.is_over(8, begin + 2 * epoch));
}

TEST_CASE("claims are retained until a full retention time of epochs has passed", "[claim]") {
    claim_epochs epochs;
    for (std::uint64_t begin = 1; begin <= epochs_per_retention; ++begin) {
        epochs = next_epoch(epochs);
        epochs.version = 10 * begin;
        CHECK(first_retained_version(epochs) == 0);
    }
    epochs = next_epoch(epochs);
    epochs.version = 1000;
    CHECK(first_retained_version(epochs) == 10);
    epochs = next_epoch(epochs);
    CHECK(first_retained_version(epochs) == 20);
    CHECK(epochs.earlier.size() == epochs_per_retention);
}

TEST_CASE("a row with epochs that contradict each other is refused", "[claim]") {
    const auto decode = [](std::string text) {
        return decode_claim_epochs({std::string(claim_epochs_key), std::move(text), 50});
    };
    CHECK(decode(R"({"earlier":[]})").earlier.empty());
    CHECK(decode(R"({"earlier":[3,49]})").earlier == std::vector<std::uint64_t>{3, 49});
    for (const auto* text :
         {"", "{}", R"({"earlier":3})", R"({"earlier":[-1]})", R"({"earlier":["3"]})", R"({"earlier":[4,4]})",
          R"({"earlier":[9,3]})", R"({"earlier":[50]})", R"({"earlier":[1e400]})"}) {
        INFO(text);
        CHECK_THROWS(decode(text));
    }
    claim_epochs too_many;
    for (std::uint64_t version = 1; version <= epochs_per_retention + 1; ++version) {
        too_many.earlier.push_back(version);
    }
    CHECK_THROWS(decode(encode_claim_epochs(too_many)));
}
