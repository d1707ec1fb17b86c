// The idempotency key of one call, from its claim to its settlement. A call that is idempotent claims
// nothing.
#pragma once

#include "entry/call.hpp"
#include "entry/claim_store.hpp"
#include "entry/offer_round.hpp"

#include <boost/asio/awaitable.hpp>

#include <optional>

namespace borageford::entry {

/// Invariant: `m_claim.version` is 0 until a row of this key is known to stand, ours or another run's.
class request_claim {
public:
    request_claim(claim_store& store, const call& request) : m_store(store), m_call(request) {}

    /// Claims the key for a start at this place. Nothing: the start may be sent. Otherwise the claim that
    /// stands instead. Throws request_error(platform_unavailable).
    boost::asio::awaitable<std::optional<claim>> take(const granted_place& place);

    /// The claim that stands for the key, when this run knows of none yet.
    boost::asio::awaitable<std::optional<claim>> find_earlier();

    /// Whether the row says that the call has run to its end. Reads it anew.
    boost::asio::awaitable<bool> is_finished();

    /// From now on this run answers with what came of that claim.
    /// Throws request_error(idempotency_key_reused) when it is of another request.
    void adopt(const claim& standing);

    /// The call was answered whole.
    void finish();
    /// The call never ran in this run.
    void release();

    /// A row of this key is known to stand.
    [[nodiscard]] bool is_known() const noexcept { return m_claim.version != 0; }
    /// True for an adopted claim whose row says that the call has run.
    [[nodiscard]] bool is_known_finished() const noexcept;

private:
    claim_store& m_store;
    const call& m_call;
    claim m_claim;
    bool m_is_adopted = false; ///< the row is another run's to release
};

} // namespace borageford::entry
