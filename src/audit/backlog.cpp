// Implements backlog: closes batches, replaces the oldest ones by gaps when memory is full, and hands batches
// out for writing.
#include "audit/backlog.hpp"

#include <algorithm>
#include <utility>

namespace borageford::audit {

using std::chrono::system_clock;

backlog::backlog(batch_origin origin, const identifier& incarnation, backlog_limits limits)
    : m_origin(std::move(origin)), m_incarnation(incarnation), m_limits(limits) {}

void backlog::add(record audit_record) {
    const std::scoped_lock lock(m_mutex);
    const auto now = audit_record.time;
    m_open.push_back(std::move(audit_record));
    if (m_open.size() >= m_limits.batch) {
        close_open_batch(now, false);
    }
    enforce_memory_limit();
}

void backlog::close(system_clock::time_point now, bool is_last) {
    const std::scoped_lock lock(m_mutex);
    if (!m_open.empty() || is_last) {
        close_open_batch(now, is_last);
    }
}

void backlog::close_open_batch(system_clock::time_point now, bool is_last) {
    const auto& writer = m_origin.backend_server.empty() ? m_origin.vm : m_origin.backend_server;
    closed_batch closed;
    closed.key = {std::chrono::floor<std::chrono::minutes>(now), m_origin.role, writer, ++m_sequence,
                  m_incarnation};
    closed.records = m_open.size();
    closed.first = m_open.empty() ? now : m_open.front().time;
    closed.last = m_open.empty() ? now : m_open.back().time;
    closed.text = encode_batch({m_origin, is_last, std::exchange(m_open, {})});
    m_closed_records += closed.records;
    m_closed.push_back(std::move(closed));
}

void backlog::enforce_memory_limit() {
    for (auto& candidate : m_closed) {
        if (m_open.size() + m_closed_records <= m_limits.memory) {
            return;
        }
        if (candidate.records > 0 && !is_being_written(candidate)) {
            replace_with_gap(candidate);
        }
    }
    join_gaps();
}

void backlog::replace_with_gap(closed_batch& batch) {
    m_lost += batch.records;
    m_closed_records -= batch.records;
    batch.lost += batch.records;
    batch.records = 0;
    const auto span = std::chrono::ceil<std::chrono::seconds>(batch.last - batch.first);
    record gap;
    gap.time = batch.first;
    gap.what = event::gap;
    gap.detail = std::to_string(batch.lost) + " records of " + std::to_string(span.count()) +
                 " s from here on were lost: the object store took none and memory was full";
    batch.text = encode_batch({m_origin, false, {std::move(gap)}});
}

void backlog::join_gaps() {
    // The oldest batches are replaced first, so the gaps are next to each other at the front.
    while (m_closed.size() > gap_limit && m_closed[0].lost > 0 && m_closed[1].lost > 0 &&
           !is_being_written(m_closed[0]) && !is_being_written(m_closed[1])) {
        auto& joined = m_closed[1];
        joined.lost += m_closed[0].lost;
        joined.first = m_closed[0].first;
        replace_with_gap(joined);
        m_closed.pop_front();
    }
}

std::optional<pending_object> backlog::begin_write() {
    const std::scoped_lock lock(m_mutex);
    if (m_closed.empty()) {
        return std::nullopt;
    }
    const auto& next = m_closed.front();
    m_writing = next.key.sequence;
    return pending_object{next.key.sequence, next.key.to_string(), next.text};
}

void backlog::end_write(std::uint64_t sequence, bool is_written) {
    const std::scoped_lock lock(m_mutex);
    m_writing = 0;
    if (!is_written) {
        enforce_memory_limit();
        return;
    }
    const auto found =
        std::ranges::find(m_closed, sequence, [](const closed_batch& batch) { return batch.key.sequence; });
    if (found != m_closed.end()) {
        m_closed_records -= found->records;
        m_closed.erase(found);
    }
}

bool backlog::is_being_written(const closed_batch& batch) const {
    return batch.key.sequence == m_writing;
}

std::size_t backlog::held_records() const {
    const std::scoped_lock lock(m_mutex);
    return m_open.size() + m_closed_records;
}

std::size_t backlog::closed_batches() const {
    const std::scoped_lock lock(m_mutex);
    return m_closed.size();
}

std::uint64_t backlog::lost_records() const {
    const std::scoped_lock lock(m_mutex);
    return m_lost;
}

} // namespace borageford::audit
