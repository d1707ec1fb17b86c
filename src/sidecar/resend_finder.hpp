// Finds the earlier dispatch of a request that a caller sends again: a dispatch that runs or is kept in this
// sidecar, or one that is known to be started at another backend server.
#pragma once

#include "sidecar/dispatch_store.hpp"
#include "sidecar/peer_registry.hpp"
#include "wire/message.hpp"

#include <cstdint>
#include <optional>
#include <unordered_map>

namespace borageford::sidecar {

/// Finds earlier dispatches. Used on the strand of the dispatch_store only. Invariant: at most `lookup_limit`
/// lookups are remembered. A lookup beyond the limit is answered too, but where its request is started
/// afterwards isn't recorded.
class resend_finder {
public:
    static constexpr std::size_t lookup_limit = 10'000;

    explicit resend_finder(dispatch_store& store) : m_store(store) {}

    /// A reply with the verdict, the id of the earlier dispatch and, if that was started elsewhere, its
    /// backend server. std::nullopt when no earlier dispatch is known.
    [[nodiscard]] std::optional<wire::offer_reply_message> find(const wire::offer_message& offer,
                                                                time_point now) const;

    /// Remembers an offer with `lookup_only` set, by which an entry only asks whether the request is known
    /// here. The entry's withdrawal of the offer tells where the request was started.
    void remember_lookup(connection_id connection, const wire::offer_message& offer);

    /// Handles the withdrawal of a remembered lookup. Returns false when the withdrawn offer isn't one.
    bool end_lookup(const wire::withdraw_message& request, time_point now);

    /// Records where the request was started, if the withdrawal says so.
    void record_start(const wire::withdraw_message& request, std::uint64_t resend_key,
                      std::uint64_t fingerprint, time_point now);

    /// Forgets the lookups of a closed connection.
    void drop_connection(connection_id connection);

private:
    struct lookup {
        connection_id connection = 0;
        std::uint64_t resend_key = 0;
        std::uint64_t fingerprint = 0;
    };

    dispatch_store& m_store;
    std::unordered_map<dispatch_id, lookup> m_lookups;
};

} // namespace borageford::sidecar
