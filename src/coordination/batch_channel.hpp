// Delivers batches of items between two processes over datagrams that may be lost, duplicated or reordered.
// Each batch is delivered once and in order.
#pragma once

#include "coordination/message.hpp"
#include "policy/time.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace borageford::coordination {

/// One end of a session: the batches that this process sends, and the batches that it receives. The class
/// uses no socket and no clock, so the caller sends the datagrams and passes the time in.
///
/// A batch that isn't acknowledged is sent again with the same number and items. The receiver buffers batches
/// that arrive before an earlier one. TCP would do the same, but its retransmission timeout of at least
/// 200 ms, a third of a short latency target, would delay everything behind a lost segment.
class batch_channel {
public:
    explicit batch_channel(std::uint64_t session) : m_session(session) {}

    [[nodiscard]] std::uint64_t session() const noexcept { return m_session; }

    /// Items that the next call of take_due() puts into new batches. The caller appends to them.
    [[nodiscard]] batch_items& pending() noexcept { return m_pending; }

    /// Returns a datagram for each batch that has to be sent now: new batches, and batches whose
    /// acknowledgement is overdue. The caller completes each datagram with set_session_fields() and with the
    /// status of the sender.
    [[nodiscard]] std::vector<datagram> take_due(policy::time_point now);

    /// Sets the session id and the acknowledgement, which every datagram of the session contains.
    void set_session_fields(datagram& message) const noexcept;

    /// Drops the sent batches up to this number, which the other side has acknowledged.
    void handle_acknowledgement(std::uint32_t batch);

    /// Accepts a received batch and returns the batches that can be delivered now, in order. The result is
    /// empty while an earlier batch is missing or when this batch was delivered before. When the batch fills
    /// a gap, the buffered batches that follow it are returned with it.
    [[nodiscard]] std::vector<batch_items> receive_batch(std::uint32_t number, batch_items items);

    [[nodiscard]] bool has_unacknowledged() const noexcept { return !m_unacknowledged.empty(); }
    /// When the oldest unacknowledged batch was sent for the first time; nothing when all sent batches are
    /// acknowledged.
    [[nodiscard]] std::optional<policy::time_point> oldest_unacknowledged() const;

private:
    struct sent_batch {
        std::uint32_t number = 0;
        batch_items items;
        policy::time_point sent; ///< the latest transmission
        policy::time_point first_sent;
        unsigned sends = 0;
    };

    /// Turns the pending items into numbered batches, each of which fits into one datagram.
    void seal_pending();

    std::uint64_t m_session;
    batch_items m_pending;
    std::deque<sent_batch> m_unacknowledged; ///< ascending numbers
    std::uint32_t m_last_sealed = 0;         ///< number of the newest batch of this side; 0: none yet
    std::uint32_t m_last_delivered = 0;      ///< number of the last batch delivered here; 0: none yet
    /// Received batches that wait for an earlier one; their numbers are greater than m_last_delivered + 1.
    std::map<std::uint32_t, batch_items> m_buffered;
};

} // namespace borageford::coordination
