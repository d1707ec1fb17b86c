// The right to give orders to one engine: a fencing number and a lease, acquired by a transaction on the
// platform's table.
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

/// The row `fencing/BACKEND_SERVER` of the platform's table.
struct fencing_row {
    std::uint64_t number = 0;
    identifier holder;                  ///< incarnation of the sidecar that wrote the row last
    std::chrono::milliseconds lease{0}; ///< length of the holder's lease, counted from each of its writes
    bool is_released = false;           ///< the holder gives no more orders under this number
    std::uint64_t writes = 0; ///< number of writes of the row; makes a renewal differ from the row before
};

/// The row's value as JSON text.
[[nodiscard]] std::string encode_fencing(const fencing_row& row);
/// Throws std::invalid_argument if `value` isn't a valid fencing row.
[[nodiscard]] fencing_row decode_fencing(std::string_view value);

/// Ensures that only one sidecar gives orders to an engine at a time. Two sidecars may be responsible for the
/// same engine, each by its own knowledge: an old sidecar whose process was paused, and its replacement.
/// Orders of the old sidecar must not arrive after orders of the new one.
///
/// Invariants: no order is allowed after `m_valid_until`, which is counted from before the write that
/// acquired or renewed the lease. If the previous holder hasn't released its lease, the first order is
/// delayed until that lease has expired, counted from the write of the new row. By then the previous holder's
/// own clock tells it that its lease has expired.
class fencing_lease {
public:
    fencing_lease(store::table& table, std::string_view backend_server, identifier incarnation,
                  std::chrono::milliseconds lease);

    /// Acquires or renews the lease. `must_wait_for_expiry` must be true if the engine doesn't check fencing
    /// numbers: then the previous holder's lease must expire before the first order. Returns how long to wait
    /// before the first order; std::nullopt if another sidecar holds the lease or another write of the row
    /// came first. Throws store::store_error, or std::invalid_argument if the row can't be decoded.
    boost::asio::awaitable<std::optional<policy::duration>> acquire(bool must_wait_for_expiry);

    /// Releases the lease, so that the next holder doesn't have to wait until it expires. Never throws: if
    /// the write fails, the next holder has to wait.
    boost::asio::awaitable<void> release();

    /// The fencing number to send with orders; 0 if the lease was never acquired.
    [[nodiscard]] std::uint64_t number() const noexcept { return m_number; }
    /// The time that is left for giving an order and receiving its answer; zero while no order is allowed.
    [[nodiscard]] policy::duration time_left(policy::time_point now) const noexcept;
    [[nodiscard]] bool is_held(policy::time_point now) const noexcept { return time_left(now).count() > 0; }

private:
    [[nodiscard]] bool must_yield(const fencing_row& current, std::uint64_t version, policy::time_point now);
    boost::asio::awaitable<bool> write(const fencing_row& next, std::uint64_t version);

    store::table& m_table;
    std::string m_key;
    identifier m_incarnation;
    std::chrono::milliseconds m_lease;
    std::uint64_t m_number = 0;
    policy::time_point m_valid_from{};
    policy::time_point m_valid_until{};
    // The version of another holder's row, and since when the row has been seen with this version.
    std::uint64_t m_seen_version = 0;
    policy::time_point m_seen_since{};
};

} // namespace borageford::sidecar
