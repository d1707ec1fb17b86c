// Finds the first copy of a request that is sent again: running or kept here, or started elsewhere.
#pragma once

#include "sidecar/dispatch_store.hpp"
#include "sidecar/peer_registry.hpp"
#include "wire/message.hpp"

#include <cstdint>
#include <optional>
#include <unordered_map>

namespace borageford::sidecar {

/// Used on the strand. Invariant: at most `lookup_limit` questions are remembered; one too many is answered,
/// and only where its request went is not learned.
class resend_finder {
public:
    static constexpr std::size_t lookup_limit = 10'000;

    explicit resend_finder(dispatch_store& store) : m_store(store) {}

    /// The reply's verdict and where to go, when the first copy is known; nothing otherwise.
    [[nodiscard]] std::optional<wire::offer_reply_message> find(const wire::offer_message& offer,
                                                                time_point now) const;

    /// An entry only asked whether the request is known here; its withdrawal will say where it went.
    void remember_lookup(connection_id connection, const wire::offer_message& offer);

    /// Returns whether this ended such a question.
    bool end_lookup(const wire::withdraw_message& request, time_point now);

    /// A withdrawal said where the request was started, if it did.
    void learn(const wire::withdraw_message& request, std::uint64_t resend_key, std::uint64_t fingerprint,
               time_point now);

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
