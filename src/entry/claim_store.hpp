// Claims of idempotency keys at the platform's table: what lets a non-idempotent call run at most once,
// whichever entry its caller sends it to.
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

/// The row carries the claim that was asked for.
struct claim_taken {
    std::uint64_t version = 0;
};

/// Another claim stands in the row.
struct claim_held {
    claim current;
};

using claim_result = std::variant<claim_taken, claim_held>;

/// Changes of the same few milliseconds share one transaction, since the table takes only several hundred
/// writes a second. Safe from any thread.
class claim_store {
public:
    claim_store(boost::asio::any_io_executor executor, store::table& table, std::chrono::milliseconds window,
                std::chrono::milliseconds limit);
    ~claim_store();
    claim_store(const claim_store&) = delete;
    claim_store& operator=(const claim_store&) = delete;
    claim_store(claim_store&&) = delete;
    claim_store& operator=(claim_store&&) = delete;

    /// Writes the claim if the row still has `wanted.version` (0: no row). A write whose answer is lost is
    /// resolved by reading the row back. Throws request_error(platform_unavailable) when the table can't be
    /// reached in time; nothing may be started then.
    boost::asio::awaitable<claim_result> take(std::string workspace, std::string key, claim wanted);

    /// The claim that stands for this key; nothing when there is none, or the table can't be read.
    boost::asio::awaitable<std::optional<claim>> read(std::string workspace, std::string key);

    /// Notes that the claimed call has run to its end. In the background; a failure only means that a
    /// resend asks the sidecar instead of the row.
    void note_finished(std::string workspace, std::string key, claim finished);

    /// Removes a claim whose call certainly never ran. In the background; a failure only means that a
    /// resend learns from the sidecar that it never began.
    void release(std::string workspace, std::string key, claim unused);

    /// No change waits or is under way.
    [[nodiscard]] bool is_idle() const noexcept;

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace borageford::entry
