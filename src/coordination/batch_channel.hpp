// Delivers batches of items between two processes over datagrams that may be lost, doubled or reordered: each
// batch is taken once and in order.
#pragma once

#include "coordination/message.hpp"
#include "policy/time.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace borageford::coordination {

/// One direction out and one in of a session. Knows no socket and no clock.
///
/// A batch that isn't acknowledged is sent again with the same number and items; the receiver holds back
/// those that came too early. TCP would do the same, but a lost segment would hold up everything behind it
/// for a retransmission timeout of 200 ms, a third of a short latency target.
class batch_channel {
public:
    explicit batch_channel(std::uint64_t session) : m_session(session) {}

    [[nodiscard]] std::uint64_t session() const noexcept { return m_session; }

    /// Items to be sent with the next flush.
    [[nodiscard]] batch_items& pending() noexcept { return m_pending; }

    /// What has to be sent now: new batches, and old ones that weren't acknowledged in time. Status and
    /// acknowledgement are for the caller to fill in with stamp().
    [[nodiscard]] std::vector<datagram> take_due(policy::time_point now);

    /// Fills in what every datagram of the session carries.
    void stamp(datagram& message) const noexcept;

    /// Takes note of what the other side has acknowledged.
    void take_acknowledgement(std::uint32_t batch);

    /// Takes a received batch and returns all that are next in order: none when one before it is missing,
    /// this and held ones when it fills the gap. One that was taken before is passed over.
    [[nodiscard]] std::vector<batch_items> take_batch(std::uint32_t number, batch_items items);

    [[nodiscard]] bool has_unacknowledged() const noexcept { return !m_unacknowledged.empty(); }
    /// When the oldest unacknowledged batch was sent first; nothing when there is none.
    [[nodiscard]] std::optional<policy::time_point> oldest_unacknowledged() const;

private:
    struct sent_batch {
        std::uint32_t number = 0;
        batch_items items;
        policy::time_point sent;
        policy::time_point first_sent;
        unsigned sends = 0;
    };

    void seal_pending();

    std::uint64_t m_session;
    batch_items m_pending;
    std::deque<sent_batch> m_unacknowledged; ///< in the order of their numbers
    std::uint32_t m_last_sealed = 0;
    std::uint32_t m_last_taken = 0;
    std::map<std::uint32_t, batch_items> m_early; ///< numbers over m_last_taken + 1
};

} // namespace borageford::coordination
