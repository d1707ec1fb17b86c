// Simulates the engine step by step. In each step the engine reads some prompt tokens, and produces one token
// for every running request whose prompt has been read.
#include "emulator/batching_engine.hpp"

#include <algorithm>
#include <utility>

namespace borageford::emulator {

namespace {

/// The shortest step. While all running requests are still in their setup, the engine checks after this time
/// whether a setup has ended.
constexpr double min_step_ms = 1;

double count_prompt_tokens(const engine_request& request) {
    double tokens = 0;
    for (const auto& part : request.prompt) {
        tokens += part.tokens;
    }
    return tokens;
}

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
    m_cache.clear();
    m_cache_index.clear();
    m_cached_tokens = 0;
}

void batching_engine::admit(time_point now) {
    while (m_running.size() < m_model.slots && !m_waiting.empty()) {
        running_request entry;
        entry.request = std::move(m_waiting.front());
        m_waiting.pop_front();
        entry.unread = count_uncached_tokens(entry.request);
        entry.setup_end = now + scaled(m_model.setup_ms);
        m_running.push_back(std::move(entry));
    }
}

double batching_engine::count_uncached_tokens(const engine_request& request) {
    double unread = 0;
    bool is_prefix_cached = true;
    for (const auto& part : request.prompt) {
        const auto cached = m_cache_index.find(part.id);
        is_prefix_cached = is_prefix_cached && cached != m_cache_index.end();
        if (is_prefix_cached) {
            m_cache.splice(m_cache.end(), m_cache, cached->second);
            m_tokens_from_cache += part.tokens;
        } else {
            unread += part.tokens;
            add_to_cache(part);
        }
    }
    m_tokens_read += unread;
    return unread;
}

void batching_engine::add_to_cache(const prompt_part& part) {
    if (m_cache_index.contains(part.id)) {
        return;
    }
    m_cache.push_back(part);
    m_cache_index[part.id] = std::prev(m_cache.end());
    m_cached_tokens += part.tokens;
    while (m_cached_tokens > m_model.cache_tokens && m_cache.size() > 1) {
        m_cached_tokens -= m_cache.front().tokens;
        m_cache_index.erase(m_cache.front().id);
        m_cache.pop_front();
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
        if (entry.setup_end > now) {
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
    m_step_end = now + scaled(std::max(step_ms, min_step_ms));
}

void batching_engine::make_token(running_request& entry, std::vector<engine_event>& events) {
    ++entry.tokens_made;
    const bool is_finished = entry.tokens_made >= entry.request.output_tokens;
    if (entry.tokens_made == 1 || entry.tokens_made % m_model.tokens_per_event == 0 || is_finished) {
        events.push_back({entry.request.id, engine_event::kind::output, m_now});
    }
    if (is_finished) {
        events.push_back({entry.request.id, engine_event::kind::finished, m_now});
    }
}

void batching_engine::end_step(std::vector<engine_event>& events) {
    for (auto& entry : m_running) {
        if (entry.unread <= 0 && entry.setup_end <= m_now) {
            make_token(entry, events);
        }
    }
    m_running.remove_if(
        [](const running_request& entry) { return entry.tokens_made >= entry.request.output_tokens; });
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

double batching_engine::held_tokens() const {
    double tokens = 0;
    for (const auto& waiting : m_waiting) {
        tokens += count_prompt_tokens(waiting);
    }
    for (const auto& entry : m_running) {
        tokens += count_prompt_tokens(entry.request) + entry.tokens_made;
    }
    return tokens;
}

bool batching_engine::is_over_memory() const {
    return m_model.memory_tokens > 0 && held_tokens() > m_model.memory_tokens;
}

std::optional<time_point> batching_engine::next_step() const {
    return m_step_end;
}

} // namespace borageford::emulator
