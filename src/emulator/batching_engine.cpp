// Simulates the engine step by step. In each step the engine reads some prompt tokens, and produces one token
// for every running request whose prompt has been read.
#include "emulator/batching_engine.hpp"

#include <algorithm>
#include <utility>

namespace borageford::emulator {

namespace {

/// The shortest step. While all running requests are still in their setup, the engine checks after this time
/// whether a setup has ended.
constexpr double least_step_ms = 1;

} // namespace

batching_engine::batching_engine(engine_model model, time_point start) : m_model(model), m_now(start) {}

duration batching_engine::scaled(double milliseconds) const {
    constexpr double per_second = 1000;
    return policy::from_seconds(milliseconds / m_model.speed / per_second);
}

bool batching_engine::add(engine_request request, time_point now) {
    if (m_running.size() >= m_model.slots && m_waiting.size() >= m_model.queue) {
        return false;
    }
    m_waiting.push_back(std::move(request));
    m_now = std::max(m_now, now);
    if (!m_step_end.has_value()) {
        begin_step(now);
    }
    return true;
}

void batching_engine::cancel(std::uint64_t request, time_point now) {
    m_now = std::max(m_now, now);
    std::erase_if(m_waiting, [request](const engine_request& entry) { return entry.id == request; });
    m_running.remove_if([request](const running_request& entry) { return entry.request.id == request; });
}

void batching_engine::crash(time_point now) {
    m_now = now;
    m_waiting.clear();
    m_running.clear();
    m_step_end.reset();
    m_kept.clear();
    m_kept_by_id.clear();
    m_kept_tokens = 0;
}

void batching_engine::admit(time_point now) {
    while (m_running.size() < m_model.slots && !m_waiting.empty()) {
        running_request entry;
        entry.request = std::move(m_waiting.front());
        m_waiting.pop_front();
        entry.unread = count_unread(entry.request);
        entry.readable = now + scaled(m_model.setup_ms);
        m_running.push_back(std::move(entry));
    }
}

double batching_engine::count_unread(const engine_request& request) {
    double unread = 0;
    bool all_before_are_kept = true;
    for (const auto& part : request.prompt) {
        const auto kept = m_kept_by_id.find(part.id);
        all_before_are_kept = all_before_are_kept && kept != m_kept_by_id.end();
        if (all_before_are_kept) {
            m_kept.splice(m_kept.end(), m_kept, kept->second);
            m_tokens_kept += part.tokens;
        } else {
            unread += part.tokens;
            keep(part);
        }
    }
    m_tokens_read += unread;
    return unread;
}

void batching_engine::keep(const prompt_part& part) {
    if (m_kept_by_id.contains(part.id)) {
        return;
    }
    m_kept.push_back(part);
    m_kept_by_id[part.id] = std::prev(m_kept.end());
    m_kept_tokens += part.tokens;
    while (m_kept_tokens > m_model.cache_tokens && m_kept.size() > 1) {
        m_kept_tokens -= m_kept.front().tokens;
        m_kept_by_id.erase(m_kept.front().id);
        m_kept.pop_front();
    }
}

void batching_engine::begin_step(time_point now) {
    admit(now);
    if (m_running.empty()) {
        m_step_end.reset();
        return;
    }
    double room = m_model.prompt_chunk;
    double read = 0;
    double pairs = 0;
    bool has_output = false;
    for (auto& entry : m_running) {
        if (entry.readable > now) {
            continue;
        }
        if (entry.unread <= 0) {
            has_output = true;
            continue;
        }
        const double part = std::min(entry.unread, room);
        pairs += part * (entry.read + part / 2);
        entry.read += part;
        entry.unread -= part;
        room -= part;
        read += part;
    }
    constexpr double million = 1e6;
    double step_ms = read / m_model.prompt_tokens_per_ms + pairs / million * m_model.pairs_ms_per_million;
    if (has_output) {
        step_ms += m_model.step_ms + m_model.step_ms_per_slot * static_cast<double>(m_running.size());
    }
    m_step_end = now + scaled(std::max(step_ms, least_step_ms));
}

void batching_engine::make_token(running_request& entry, std::vector<engine_event>& events) {
    ++entry.made;
    const bool is_finished = entry.made >= entry.request.output_tokens;
    if (entry.made == 1 || entry.made % m_model.tokens_per_event == 0 || is_finished) {
        events.push_back({entry.request.id, engine_event::kind::output, m_now});
    }
    if (is_finished) {
        events.push_back({entry.request.id, engine_event::kind::finished, m_now});
    }
}

void batching_engine::end_step(std::vector<engine_event>& events) {
    for (auto& entry : m_running) {
        if (entry.unread <= 0 && entry.readable <= m_now) {
            make_token(entry, events);
        }
    }
    m_running.remove_if(
        [](const running_request& entry) { return entry.made >= entry.request.output_tokens; });
}

std::vector<engine_event> batching_engine::advance(time_point now) {
    std::vector<engine_event> events;
    while (m_step_end.has_value() && *m_step_end <= now) {
        m_now = *m_step_end;
        end_step(events);
        begin_step(m_now);
    }
    m_now = std::max(m_now, now);
    return events;
}

std::optional<time_point> batching_engine::next_step() const {
    return m_step_end;
}

} // namespace borageford::emulator
