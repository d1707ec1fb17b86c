// Numbers and retransmits the batches of one session. The receiver acknowledges cumulatively and buffers
// batches that arrive out of order.
#include "coordination/batch_channel.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace borageford::coordination {

namespace {

/// An unacknowledged datagram counts as lost after this time. It covers several round trips inside a region,
/// which take about 2 ms each, to a peer that is busy.
constexpr std::chrono::milliseconds retransmit_delay{12};
/// The delay doubles at each retransmission, up to this many times. A coordinator that falls behind
/// acknowledges late. With a fixed delay of 12 ms the retransmissions of 300 members kept it behind until its
/// members gave it up.
constexpr unsigned max_delay_doublings = 3;
/// A datagram stays below the size of an Ethernet frame. A larger one would be fragmented, and one lost
/// fragment would lose all of it.
constexpr std::size_t max_datagram_bytes = 1300;
/// How many numbers a received batch may be ahead of the last one delivered. A batch further ahead is
/// dropped, and its sender retransmits it.
constexpr std::uint32_t max_batches_ahead = 256;

/// Moves items from the front of `from` to the end of `to` until the datagram that holds `filled` is full.
/// Returns whether all items were moved.
template <typename Item>
bool move_until_full(std::vector<Item>& from, std::vector<Item>& to, const batch_items& filled) {
    auto next = from.begin();
    while (next != from.end() && filled.encoded_size() < max_datagram_bytes) {
        to.push_back(std::move(*next));
        ++next;
    }
    from.erase(from.begin(), next);
    return from.empty();
}

} // namespace

void batch_channel::seal_pending() {
    while (!m_pending.is_empty()) {
        batch_items items;
        items.retries = std::exchange(m_pending.retries, {});
        // The receiver processes the lists in this order, because a later list can refer to requests and
        // servers of an earlier one.
        [[maybe_unused]] const bool all =
            move_until_full(m_pending.reports, items.reports, items) &&
            move_until_full(m_pending.rate_limits, items.rate_limits, items) &&
            move_until_full(m_pending.departures, items.departures, items) &&
            move_until_full(m_pending.crashes.marks, items.crashes.marks, items) &&
            move_until_full(m_pending.crashes.clearances, items.crashes.clearances, items) &&
            move_until_full(m_pending.backoffs, items.backoffs, items) &&
            move_until_full(m_pending.holds, items.holds, items) &&
            move_until_full(m_pending.promises, items.promises, items) &&
            move_until_full(m_pending.asks, items.asks, items) &&
            move_until_full(m_pending.withdrawals, items.withdrawals, items) &&
            move_until_full(m_pending.releases, items.releases, items) &&
            move_until_full(m_pending.grants, items.grants, items) &&
            move_until_full(m_pending.refusals, items.refusals, items);
        m_unacknowledged.push_back({++m_last_sealed, std::move(items), {}, {}, 0});
    }
}

std::vector<datagram> batch_channel::take_due(policy::time_point now) {
    seal_pending();
    std::vector<datagram> due;
    for (auto& batch : m_unacknowledged) {
        const bool is_new = batch.sends == 0;
        const auto delay = retransmit_delay * (1U << std::min(batch.sends, max_delay_doublings + 1) >> 1U);
        if (!is_new && now - batch.sent < delay) {
            continue;
        }
        ++batch.sends;
        batch.sent = now;
        batch.first_sent = is_new ? now : batch.first_sent;
        datagram message;
        message.batch = batch.number;
        message.items = batch.items;
        due.push_back(std::move(message));
    }
    return due;
}

void batch_channel::set_session_fields(datagram& message) const noexcept {
    message.session = m_session;
    message.acknowledged = m_last_delivered;
}

void batch_channel::handle_acknowledgement(std::uint32_t batch) {
    while (!m_unacknowledged.empty() && m_unacknowledged.front().number <= batch) {
        m_unacknowledged.pop_front();
    }
}

std::optional<policy::time_point> batch_channel::oldest_unacknowledged() const {
    if (m_unacknowledged.empty() || m_unacknowledged.front().sends == 0) {
        return std::nullopt;
    }
    return m_unacknowledged.front().first_sent;
}

std::vector<batch_items> batch_channel::receive_batch(std::uint32_t number, batch_items items) {
    std::vector<batch_items> next;
    if (number <= m_last_delivered || number > m_last_delivered + max_batches_ahead) {
        return next;
    }
    m_buffered.try_emplace(number, std::move(items));
    while (!m_buffered.empty() && m_buffered.begin()->first == m_last_delivered + 1) {
        next.push_back(std::move(m_buffered.begin()->second));
        m_buffered.erase(m_buffered.begin());
        ++m_last_delivered;
    }
    return next;
}

} // namespace borageford::coordination
