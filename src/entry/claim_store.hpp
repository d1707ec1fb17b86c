// Claims of idempotency keys in the platform's table. A non-idempotent call is started only after its key has
// been claimed there, so that it runs at most once whichever entries its caller sends it to.
#pragma once

#include "entry/claim_row.hpp"
#include "store/table.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace borageford::entry {

/// The requested claim was written.
struct claim_written {
    std::uint64_t version = 0; ///< version of the written row
};

/// The row holds another claim, so the requested one was not written.
struct claim_conflict {
    claim current;
};

using claim_result = std::variant<claim_written, claim_conflict>;

/// Reads and writes the rows of claims. Changes that are requested within a few milliseconds of each other
/// share one transaction, since the table accepts only several hundred writes a second. Thread-safe.
class claim_store {
public:
    /// `window` is how long changes are collected for one transaction, `limit` how long try_claim() waits for
    /// its write.
    claim_store(boost::asio::any_io_executor executor, store::table& table, std::chrono::milliseconds window,
                std::chrono::milliseconds limit);
    ~claim_store();
    claim_store(const claim_store&) = delete;
    claim_store& operator=(const claim_store&) = delete;
    claim_store(claim_store&&) = delete;
    claim_store& operator=(claim_store&&) = delete;

    /// Writes the claim if the row still has the version `wanted.version` (0: the row doesn't exist). When
    /// the response to the write is lost, the row is read back to find out whether the write took effect.
    /// Throws request_error(platform_unavailable) when the table can't be reached in time; the call must not
    /// be started in that case.
    boost::asio::awaitable<claim_result> try_claim(std::string workspace, std::string key, claim wanted);

    /// Reads the current claim of this key. Returns nothing when there is none or the table can't be read.
    boost::asio::awaitable<std::optional<claim>> read(std::string workspace, std::string key);

    /// Marks the claimed call as finished, in the background. If the write fails, a resend of the call has to
    /// ask the sidecar for the outcome because the row doesn't have it.
    void record_finished(std::string workspace, std::string key, claim finished);

    /// Removes the claim of a call that certainly never ran, in the background. If the write fails, a resend
    /// of the call learns from the sidecar that the call was never begun.
    void release(std::string workspace, std::string key, claim unused);

    /// True when no change is waiting to be written or being written.
    [[nodiscard]] bool is_idle() const noexcept;

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace borageford::entry
