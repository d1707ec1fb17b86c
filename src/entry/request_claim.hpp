// Manages the claim of one call's idempotency key from before the call is started until the call has finished
// or certainly did not run. Idempotent calls need no claim, and nothing is written for them.
#pragma once

#include "entry/call.hpp"
#include "entry/claim_store.hpp"
#include "entry/offer_round.hpp"

#include <boost/asio/awaitable.hpp>

#include <optional>

namespace borageford::entry {

/// The claim of one call, made through claim_store.
/// Invariant: `m_claim.version` is 0 until a row of this key is known to exist, whether this run or another
/// run of the call wrote it.
class request_claim {
public:
    request_claim(claim_store& store, const call& request) : m_store(store), m_call(request) {}

    /// Claims the key for a start at this place. Returns nothing when the start may be sent, and otherwise
    /// the other claim that already holds the key. Throws request_error(platform_unavailable) when the table
    /// can't be reached.
    boost::asio::awaitable<std::optional<claim>> try_claim(const granted_place& place);

    /// Reads the claim of the key from the table. Returns nothing if there is none, or if this run knows of
    /// one already.
    boost::asio::awaitable<std::optional<claim>> find_earlier();

    /// Reads the row again and returns whether it is marked as finished, which means that the call has run to
    /// its end.
    boost::asio::awaitable<bool> is_finished();

    /// Makes this run use another run's claim, so that its caller is answered with that run's outcome.
    /// Throws request_error(idempotency_key_reused) when the claim was made for a different request.
    void adopt(const claim& existing);

    /// Marks the claim as finished after the call was answered completely.
    void finish();
    /// Removes the claim if this run made it. Must only be called when this run did not run the call.
    void release();

    /// True when a row of this key is known to exist.
    [[nodiscard]] bool is_known() const noexcept { return m_claim.version != 0; }
    /// True for an adopted claim whose row was marked as finished when it was read.
    [[nodiscard]] bool is_known_finished() const noexcept;

private:
    claim_store& m_store;
    const call& m_call;
    claim m_claim;
    bool m_is_adopted = false; ///< another run wrote the claim, so this run must not release it
};

} // namespace borageford::entry
