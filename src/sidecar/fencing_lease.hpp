// The right to give orders to one engine: a fencing number and a lease, taken by a transaction at the table.
#pragma once

#include "base/identifier.hpp"
#include "policy/time.hpp"
#include "store/table.hpp"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace borageford::sidecar {

/// The row `fencing/BACKEND_SERVER`.
struct fencing_row {
    std::uint64_t number = 0;
    identifier holder;                  ///< incarnation of the sidecar that took it
    std::chrono::milliseconds lease{0}; ///< of that holder, from each of its writes on
    bool is_released = false;           ///< the holder gives no more orders under this number
    std::uint64_t writes = 0;           ///< makes each write differ, so that a renewal shows
};

[[nodiscard]] std::string encode_fencing(const fencing_row& row);
/// Throws std::invalid_argument for text that isn't such a row.
[[nodiscard]] fencing_row decode_fencing(std::string_view value);

/// Two sidecars can believe that they stand beside one engine: an old one that was paused, and its
/// replacement. Only one may order at a time, and the old one's orders must not arrive after the new one's.
///
/// Invariants: no order is allowed after `m_valid_until`, which is counted from before the write that took or
/// renewed the lease; a lease that another holder hasn't released is waited out after the row was taken from
/// it, so that by our first order its holder knows from its own clock that its lease is over.
class fencing_lease {
public:
    fencing_lease(store::table& table, std::string_view backend_server, identifier incarnation,
                  std::chrono::milliseconds lease);

    /// Takes or renews it. `is_waited_out`: the engine doesn't check numbers, so a former holder's lease must
    /// be waited out. Returns how long to wait before the first order; nothing when another holds it, or the
    /// write was lost to another's. Throws store::store_error.
    boost::asio::awaitable<std::optional<policy::duration>> take(bool is_waited_out);

    /// Gives it up, so that no one has to wait it out. Never throws; a failed write only costs others time.
    boost::asio::awaitable<void> release();

    [[nodiscard]] std::uint64_t number() const noexcept { return m_number; }
    /// Time in which an order may still be given and answered; never negative.
    [[nodiscard]] policy::duration time_left(policy::time_point now) const noexcept;
    [[nodiscard]] bool is_held(policy::time_point now) const noexcept { return time_left(now).count() > 0; }

private:
    [[nodiscard]] bool must_respect(const fencing_row& held, std::uint64_t version, policy::time_point now);
    boost::asio::awaitable<bool> write(const fencing_row& next, std::uint64_t version);

    store::table& m_table;
    std::string m_key;
    identifier m_incarnation;
    std::chrono::milliseconds m_lease;
    std::uint64_t m_number = 0;
    policy::time_point m_valid_from{};
    policy::time_point m_valid_until{};
    // Another holder's row, and since when it has been seen unchanged.
    std::uint64_t m_seen_version = 0;
    policy::time_point m_seen_since{};
};

} // namespace borageford::sidecar
