// Advances the sequences of a batch with a timer: first prefill, then decoding in the time that is left of
// each tick.
#include "fakes/engine_batch.hpp"

#include <algorithm>

namespace borageford::test {

namespace {

/// Time between two steps of the batch.
constexpr std::chrono::milliseconds tick_period{6};
/// A late tick advances the batch by at most this time, so that an engine process that was frozen doesn't
/// catch up at once.
constexpr double longest_tick_seconds = 0.05;
/// The share of a tick that prefill may use while other sequences are decoding.
constexpr double prefill_share = 0.6;

} // namespace

engine_batch::engine_batch(const boost::asio::any_io_executor& executor, engine_speed speed,
                           prefix_cache& cache, const fault_controls& faults)
    : m_speed(speed), m_cache(cache), m_faults(faults), m_timer(executor) {}

void engine_batch::add(std::shared_ptr<engine_stream> stream) {
    m_waiting.push_back(std::move(stream));
    schedule();
}

std::uint64_t engine_batch::prefill_backlog() const {
    double tokens = 0;
    for (const auto& stream : m_running) {
        tokens += stream->prefill_left;
    }
    for (const auto& stream : m_waiting) {
        tokens += stream->request.prompt_tokens;
    }
    return static_cast<std::uint64_t>(tokens);
}

void engine_batch::schedule() {
    if (m_is_scheduled) {
        return;
    }
    m_is_scheduled = true;
    m_last = std::chrono::steady_clock::now();
    m_timer.expires_after(tick_period);
    m_timer.async_wait([this](const boost::system::error_code& error) {
        if (!error) {
            tick();
        }
    });
}

void engine_batch::tick() {
    m_is_scheduled = false;
    const std::chrono::duration<double> passed = std::chrono::steady_clock::now() - m_last;
    const double seconds = std::min(passed.count(), longest_tick_seconds) / std::max(m_faults.slowdown, 1e-6);
    admit();
    const double used = prefill(seconds);
    decode(seconds - used);
    m_running.remove_if([](const auto& stream) { return stream->is_finished; });
    if (!m_running.empty() || !m_waiting.empty()) {
        schedule();
    }
}

void engine_batch::admit() {
    while (!m_waiting.empty() && m_running.size() < m_speed.slots) {
        auto stream = std::move(m_waiting.front());
        m_waiting.pop_front();
        if (stream->is_finished) {
            continue; // cancelled while waiting
        }
        // At least the last prompt token is computed again, because the first output token depends on it.
        const auto cached = m_cache.find_prefix(stream->request.blocks);
        stream->cached_tokens = std::min(cached, std::max(1U, stream->request.prompt_tokens) - 1);
        stream->prefill_left = static_cast<double>(stream->request.prompt_tokens - stream->cached_tokens);
        m_running.push_back(std::move(stream));
    }
}

double engine_batch::prefill(double seconds) {
    const bool has_decoding_sequence =
        std::any_of(m_running.begin(), m_running.end(),
                    [](const auto& stream) { return !stream->is_finished && stream->prefill_left <= 0; });
    double left = seconds * (has_decoding_sequence ? prefill_share : 1.0);
    const double share = left;
    for (const auto& stream : m_running) {
        if (left <= 0) {
            break;
        }
        if (stream->is_finished || stream->prefill_left <= 0) {
            continue;
        }
        const double done = std::min(stream->prefill_left, left * m_speed.prefill_tokens_per_second);
        stream->prefill_left -= done;
        left -= done / m_speed.prefill_tokens_per_second;
        if (stream->prefill_left <= 1e-9) {
            finish_prefill(*stream);
        }
    }
    return share - left;
}

void engine_batch::finish_prefill(engine_stream& stream) {
    stream.prefill_left = 0;
    stream.prefilled_tokens = stream.request.prompt_tokens - stream.cached_tokens;
    const auto repeated = m_cache.store(stream.request.blocks, stream.cached_tokens);
    stream.repeated_tokens = std::min(repeated, stream.prefilled_tokens);
    stream.token_progress = 1; // prefill also computes the first output token
}

void engine_batch::decode(double seconds) {
    const auto running = static_cast<double>(m_running.size());
    const double rate = m_speed.output_tokens_per_second / (1 + (running - 1) / m_speed.batch_knee);
    for (const auto& stream : m_running) {
        if (stream->is_finished || stream->prefill_left > 0 || is_stalled(*stream)) {
            continue;
        }
        if (m_faults.garble) {
            stream->add_rubbish();
            continue;
        }
        stream->token_progress += seconds * rate;
        while (stream->token_progress >= 1 && !stream->is_finished && !is_stalled(*stream)) {
            stream->token_progress -= 1;
            stream->add_token();
        }
    }
}

bool engine_batch::is_stalled(const engine_stream& stream) const {
    return m_faults.stall_after && stream.tokens_done >= *m_faults.stall_after;
}

} // namespace borageford::test
