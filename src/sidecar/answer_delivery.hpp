// Sends the answers of dispatches to the entry connections that read them. Each connection has its own
// offset.
#pragma once

#include "sidecar/dispatch_record.hpp"
#include "sidecar/peer_registry.hpp"

namespace borageford::sidecar {

/// Sends answers to their readers. Invariant: each reader is sent every byte once and in order, and the
/// message about the end of the answer only after the last byte.
class answer_delivery {
public:
    explicit answer_delivery(peer_registry& peers) : m_peers(peers) {}

    /// Sends each reader the bytes that it hasn't been sent yet. Removes all readers when the answer has
    /// ended.
    void deliver(dispatch_record& dispatch);

    /// Whether none of the readers takes the answer as fast as it arrives: each has much of what it was sent
    /// still to take. False when there are no readers.
    [[nodiscard]] bool is_behind(const dispatch_record& dispatch) const;

    /// Starts to send the answer to `connection` from byte `offset` on. Replaces an earlier reader of the
    /// same connection.
    void add_reader(dispatch_record& dispatch, connection_id connection, std::uint64_t offset);
    /// Stops sending the answer to `connection`. Returns whether the connection was a reader.
    static bool remove_reader(dispatch_record& dispatch, connection_id connection);

private:
    void deliver_to(const dispatch_record& dispatch, answer_reader& reader);
    void send_end(const dispatch_record& dispatch, connection_id connection);

    peer_registry& m_peers;
};

} // namespace borageford::sidecar
