// The steps of the dispatch protocol as a test takes them in the place of an entry.
#pragma once

#include "support/cluster.hpp"
#include "support/peer_client.hpp"

#include <string>

namespace borageford::test {

struct offer_options {
    bool idempotent = true;
    std::uint64_t resend_key = 0;
    std::uint8_t tier = 0;
    std::string workspace = "haian";
    std::uint32_t deadline_ms = 0;
    std::uint32_t prompt_tokens = 10;
    std::uint64_t fingerprint = 0; ///< 0: of the call's body
};

struct driven_answer {
    wire::answer_head_message head;
    std::string body; ///< from the asked offset on
    wire::answer_end_message end;
};

/// Drives the first sidecar of a cluster.
class sidecar_driver {
public:
    /// Waits until the sidecar is ready for work.
    explicit sidecar_driver(cluster& system);

    [[nodiscard]] peer_client connect() const;
    [[nodiscard]] dispatch_id offer(peer_client& entry, const http::request& work,
                                    const offer_options& options = {}) const;
    /// `revision` 0: the one in force.
    void start(peer_client& entry, const dispatch_id& dispatch, const http::request& work,
               std::uint64_t revision = 0) const;
    void grant_and_start(peer_client& entry, const dispatch_id& dispatch, const http::request& work) const;
    void attach(peer_client& entry, const dispatch_id& dispatch, std::uint64_t offset) const;
    /// Reads to the end, checking that no byte is missing, doubled or out of order.
    [[nodiscard]] driven_answer read_answer(peer_client& entry, const dispatch_id& dispatch,
                                            std::uint64_t offset = 0) const;
    void wait_until_ready() const;

private:
    cluster& m_system;
    identifier m_incarnation;
    std::uint64_t m_revision = 0;
};

} // namespace borageford::test
