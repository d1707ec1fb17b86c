// Sends answers to the connections that read them, each from its own offset.
#pragma once

#include "sidecar/dispatch_record.hpp"
#include "sidecar/peer_registry.hpp"

namespace borageford::sidecar {

/// Invariant: a reader is sent each byte once and in order, and the end only after the last byte.
class answer_delivery {
public:
    explicit answer_delivery(peer_registry& peers) : m_peers(peers) {}

    /// Sends what each reader doesn't have yet.
    void deliver(dispatch_record& dispatch);

    /// Adds a reader from this offset on, in place of the same connection's former one.
    void add_reader(dispatch_record& dispatch, connection_id connection, std::uint64_t offset);
    /// Returns whether it was one.
    static bool remove_reader(dispatch_record& dispatch, connection_id connection);

private:
    void deliver_to(const dispatch_record& dispatch, answer_reader& reader);
    void send_end(const dispatch_record& dispatch, connection_id connection);

    peer_registry& m_peers;
};

} // namespace borageford::sidecar
