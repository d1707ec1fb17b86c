// Guarantee 7: under overload, no request is shed while one of a lower tier that waits at the same sidecar is
// served. The test checks this with the audit records of the sidecars.
#include "audit/batch.hpp"
#include "support/checks.hpp"
#include "support/cluster.hpp"
#include "support/completion.hpp"
#include "support/wait_until.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <set>
#include <vector>

using namespace borageford;
using namespace borageford::test;

namespace {

constexpr std::array<const char*, 4> tiers{"urgent", "standard", "batch", "idle"};
constexpr std::size_t burst_size = 96;

/// Reads all audit batches from the platform's object store.
std::vector<audit::batch> read_batches(const http::endpoint& platform) {
    std::vector<audit::batch> batches;
    const auto listed = boost::json::parse(fetch_text(platform, "/objects?prefix=audit/"));
    for (const auto& object : listed.at("objects").as_array()) {
        const std::string key(object.at("key").as_string());
        batches.push_back(audit::decode_batch(fetch_text(platform, "/objects/" + key)));
    }
    return batches;
}

/// When one sidecar queued, granted or shed one offer, as far as these events were recorded.
struct offer_history {
    unsigned tier = 0; ///< rank; a lower rank is a higher tier
    std::optional<std::chrono::system_clock::time_point> queued;
    std::optional<std::chrono::system_clock::time_point> granted;
    std::optional<std::chrono::system_clock::time_point> shed;
};

using sidecar_history = std::map<dispatch_id, offer_history>;

/// Collects the offers of each sidecar from the audit records. The key is the backend server's name.
std::map<std::string, sidecar_history> read_sidecars(const std::vector<audit::batch>& batches) {
    std::map<std::string, sidecar_history> sidecars;
    for (const auto& batch : batches) {
        if (batch.origin.role != "sidecar") {
            continue;
        }
        for (const auto& record : batch.records) {
            auto& offer = sidecars[batch.origin.backend_server][record.dispatch];
            offer.tier = record.tier;
            const bool is_shed =
                record.reason == error_kind::overloaded &&
                (record.what == audit::event::refused || record.what == audit::event::pushed_out);
            if (record.what == audit::event::queued) {
                offer.queued = record.time;
            } else if (record.what == audit::event::granted) {
                offer.granted = record.time;
            } else if (is_shed) {
                offer.shed = record.time;
            }
        }
    }
    return sidecars;
}

/// Counts the offers of a lower tier that were waiting when the given offer was shed and were granted later.
std::size_t count_served_in_its_place(const sidecar_history& offers, const offer_history& shed) {
    return static_cast<std::size_t>(std::ranges::count_if(offers, [&](const auto& item) {
        const auto& other = item.second;
        return other.tier > shed.tier && other.queued && *other.queued <= *shed.shed && other.granted &&
               *other.granted > *shed.shed;
    }));
}

} // namespace

// A burst of requests of all tiers arrives at both entries, far more than the queues can hold. When an offer
// is shed, no offer of a lower tier that was already waiting may be granted after it.
TEST_CASE("7 tiers: no higher tier is shed while a lower one that waited is served") {
    cluster system({.backend_servers = {{.name = "pluma-1", .slots = "2"}, {.name = "pluma-2", .slots = "2"}},
                    .sidecar_settings = "queue_requests = 6\n"});
    std::vector<http::request> calls;
    std::vector<std::unique_ptr<pending_call>> pending;
    for (std::size_t index = 0; index < burst_size; ++index) {
        // In each group of four, the lowest tier is sent first, so that it waits when the higher tiers
        // arrive.
        const auto* tier = tiers.at(tiers.size() - 1 - index % tiers.size());
        calls.push_back(
            with_header(make_completion("rafaga " + std::to_string(index), {.tokens = 20}), "X-Tier", tier));
        pending.push_back(std::make_unique<pending_call>(system.entry(index / 4 % 2).callers, calls.back()));
    }
    std::size_t refused = 0;
    for (std::size_t index = 0; index < calls.size(); ++index) {
        const auto answer = pending[index]->wait();
        if (answer.status == 200) {
            check_complete_answer(answer, calls[index], 20);
            continue;
        }
        ++refused;
        CHECK(answer.header("X-Error-Kind") == "overloaded");
        check_not_run(answer, system.runs_of(calls[index]));
    }
    CHECK(refused > 0);
    for (std::size_t index = 0; index < 2; ++index) {
        system.entry(index).process->terminate();
        CHECK(system.entry(index).process->wait_for_exit() == 0);
        system.backend(index).sidecar->terminate();
        CHECK(system.backend(index).sidecar->wait_for_exit() == 0);
    }
    const auto sidecars = read_sidecars(read_batches(system.platform()));
    CHECK(sidecars.size() == 2);
    std::size_t shed = 0;
    for (const auto& [name, offers] : sidecars) {
        INFO(name);
        for (const auto& [dispatch, offer] : offers) {
            if (offer.shed) {
                ++shed;
                INFO(dispatch.to_string() << " of tier " << offer.tier);
                CHECK(count_served_in_its_place(offers, offer) == 0);
            }
        }
    }
    WARN(refused << " of " << burst_size << " requests refused, " << shed << " offers shed");
    CHECK(shed >= refused);
}
