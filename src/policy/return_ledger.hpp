// The slot time that is promised to refused callers, for the next seconds.
#pragma once

#include "policy/return_promise.hpp"
#include "policy/slot_request.hpp"
#include "policy/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <tuple>
#include <unordered_map>
#include <utility>

namespace borageford::policy {

/// What a return_ledger may promise to one request.
struct return_terms {
    duration slot_time{};       ///< for how long the request is expected to occupy a slot
    double slots = 0;           ///< slots that all promises to its tier and to higher ones may take together
    double workspace_share = 1; ///< part of them that its workspace may take, 0 to 1
    duration horizon{};         ///< the latest time to come back, from now
    double draw = 0;            ///< random number in [0, 1) that spreads the callers within a bucket
};

/// A refused caller that is told to come back at some time finds room only if it isn't promised to others as
/// well. Time ahead is divided into short buckets, and each promise takes the slot time that its request
/// needs from the first ones with room. A promise to a lower tier takes nothing from a higher one, which is
/// granted slots first.
///
/// Invariant: each fingerprint has at most one promise, so that a caller that repeats its request gains
/// nothing.
class return_ledger {
public:
    /// Promises the request a time to come back and returns it; nothing if there is no room within the
    /// horizon. A request that already has a promise keeps it.
    [[nodiscard]] std::optional<time_point> promise(const slot_request& request, const return_terms& terms,
                                                    time_point now);
    /// Takes over a promise of another process, whether or not there is room for it.
    void adopt(const return_promise& told, duration slot_time, time_point now);

    /// Whether the request comes back as it was told. If so, its promise is used up.
    [[nodiscard]] bool redeem(const slot_request& request, time_point now);
    /// Gives back the time promised to a request that was granted a slot earlier. Ignored if there is none.
    void cancel(std::uint64_t fingerprint, time_point now);
    /// Removes the promises whose callers didn't come back.
    void remove_expired(time_point now);

    /// Number of promises to callers that haven't come back yet.
    [[nodiscard]] std::size_t size() const noexcept { return m_promises.size(); }
    [[nodiscard]] return_counts& counts() noexcept { return m_counts; }

private:
    /// Index of a bucket since the clock's epoch.
    using bucket_index = std::int64_t;
    /// Promised slot time of a bucket in seconds, by tier.
    using bucket = std::map<int, double>;
    using account_key = std::tuple<service_key, int, workspace_key>;

    /// What a workspace is promised in a tier.
    struct account {
        std::size_t promises = 0;
        double slot_seconds = 0;
    };

    struct entry {
        return_promise promise;
        double slot_seconds = 0;
        double rate = 1; ///< slots that it takes at a time
    };

    [[nodiscard]] static bucket_index index_of(time_point when);
    [[nodiscard]] bool has_room(const return_promise& wanted, const return_terms& terms, double rate) const;
    [[nodiscard]] bool is_within_share(const return_promise& wanted, const return_terms& terms) const;
    void insert(const entry& added, time_point now);
    std::unordered_map<std::uint64_t, entry>::iterator
    erase(std::unordered_map<std::uint64_t, entry>::iterator found);
    void change_buckets(const entry& changed, double sign);

    std::unordered_map<std::uint64_t, entry> m_promises; ///< by fingerprint
    std::map<std::pair<service_key, bucket_index>, bucket> m_buckets;
    std::map<account_key, account> m_accounts;         ///< what workspaces are promised
    std::multimap<time_point, std::uint64_t> m_by_due; ///< fingerprints, also of promises that are gone
    return_counts m_counts;
};

} // namespace borageford::policy
