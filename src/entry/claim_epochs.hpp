// Measures the age of claims without the time of day. The clocks of entries may differ by any amount, so all
// entries together count epochs in a row of the platform's table. The table's versions tell which claims were
// written before an epoch began.
#pragma once

#include "store/row.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace borageford::entry {

/// Key of the row that holds the epochs.
inline constexpr std::string_view claim_epochs_key = "claim_epochs";
/// The retention time consists of this many epochs. An epoch ends only if one entry has run for the whole of
/// it, so epochs are much shorter than the life of an entry.
inline constexpr std::size_t epochs_per_retention = 24;

/// The contents of the row: the versions of the table at which the last epochs began.
/// Invariant: `earlier` is sorted, has at most `epochs_per_retention` versions, and all are less than
/// `version`.
struct claim_epochs {
    std::vector<std::uint64_t> earlier; ///< begins of the epochs before the current one, oldest first
    std::uint64_t version = 0;          ///< version of the row: the begin of the current epoch; 0: no row yet
};

[[nodiscard]] std::string encode_claim_epochs(const claim_epochs& value);
/// Decodes the row. Throws an exception derived from std::exception if the row isn't in this format or breaks
/// the invariant.
[[nodiscard]] claim_epochs decode_claim_epochs(const store::row& row);

/// The contents of the row for the epoch that follows the current one. Its version is known once it is
/// written.
[[nodiscard]] claim_epochs next_epoch(const claim_epochs& current);

/// Rows with a lower version than this were written before the last `epochs_per_retention` epochs. 0: the
/// epochs haven't been counted for that long.
[[nodiscard]] std::uint64_t first_retained_version(const claim_epochs& epochs) noexcept;

/// Decides when this entry may begin the next epoch. It measures with its own steady clock how long the row
/// has been the same, so the current epoch is at least as old as that.
class claim_epoch_timer {
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// `retention` is the time for which claims are kept.
    explicit claim_epoch_timer(std::chrono::milliseconds retention);

    /// True if this entry knows that the current epoch has lasted long enough. `version` is the row's version
    /// (0: no row yet), `now` the time at which it was read.
    [[nodiscard]] bool is_over(std::uint64_t version, time_point now);

private:
    std::chrono::nanoseconds m_length; ///< least length of an epoch
    std::optional<std::uint64_t> m_version;
    time_point m_first_seen; ///< when this entry first read the row with `m_version`
};

} // namespace borageford::entry
