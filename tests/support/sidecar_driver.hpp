// Performs the steps of the dispatch protocol with a sidecar (offer, start, attach), in the place of an
// entry.
#pragma once

#include "support/cluster.hpp"
#include "support/peer_client.hpp"

#include <string>

namespace borageford::test {

/// The fields of an offer that tests vary.
struct offer_options {
    bool idempotent = true;
    std::uint64_t resend_key = 0;
    std::uint8_t tier = 0;
    std::string workspace = "haian";
    std::uint32_t deadline_ms = 0;
    std::uint32_t prompt_tokens = 10;
    std::uint64_t fingerprint = 0; ///< 0: the fingerprint of the call's body
};

/// The messages of one answer, put together.
struct driven_answer {
    wire::answer_head_message head;
    std::string body; ///< the bytes from the requested offset on
    wire::answer_end_message end;
};

/// Drives the first sidecar of a cluster.
class sidecar_driver {
public:
    /// Waits until the sidecar is ready for work.
    explicit sidecar_driver(cluster& system);

    /// Opens a connection to the sidecar; its frames carry the revision in force when the driver was created.
    [[nodiscard]] peer_client connect() const;
    /// Offers the call to the sidecar and returns the id of the new dispatch.
    [[nodiscard]] dispatch_id offer(peer_client& entry, const http::request& work,
                                    const offer_options& options = {}) const;
    /// Sends the start message with the call. `revision` 0 means the revision in force when the driver was
    /// created.
    void start(peer_client& entry, const dispatch_id& dispatch, const http::request& work,
               std::uint64_t revision = 0) const;
    /// Waits for the sidecar's grant, then sends the start message.
    void grant_and_start(peer_client& entry, const dispatch_id& dispatch, const http::request& work) const;
    /// Requests the answer of the dispatch from the byte `offset` on, as an entry that states an age of 0.
    /// `granted_at_ms` is copied from the grant; 0: not known.
    void attach(peer_client& entry, const dispatch_id& dispatch, std::uint64_t offset,
                std::uint64_t granted_at_ms = 0) const;
    /// Reads the answer to its end. Throws std::runtime_error when a chunk is missing, repeated or out of
    /// order.
    [[nodiscard]] driven_answer read_answer(peer_client& entry, const dispatch_id& dispatch,
                                            std::uint64_t offset = 0) const;
    void wait_until_ready() const;

private:
    cluster& m_system;
    identifier m_incarnation;
    std::uint64_t m_revision = 0;
};

} // namespace borageford::test
