// Models how fake_engine spends its time. A periodic tick advances all running sequences; prefill of one
// sequence delays the output tokens of the others, and each additional sequence slows all of them down.
#pragma once

#include "fakes/engine_stream.hpp"
#include "fakes/fault_controls.hpp"
#include "fakes/prefix_cache.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <deque>
#include <list>

namespace borageford::test {

/// The speed and the size of an engine's batch.
struct engine_speed {
    double prefill_tokens_per_second = 8000;
    double output_tokens_per_second = 60; ///< speed of a sequence that runs alone
    /// With n sequences running, a token takes 1 + (n - 1) / batch_knee times as long as with one.
    double batch_knee = 16;
    std::size_t slots = 256; ///< sequences in the batch; further ones wait in their order of arrival
};

/// Invariant: the timer runs only while a sequence runs or waits, so an idle engine uses no processor time.
class engine_batch {
public:
    engine_batch(const boost::asio::any_io_executor& executor, engine_speed speed, prefix_cache& cache,
                 const fault_controls& faults);

    /// Adds a sequence at the end of the waiting ones.
    void add(std::shared_ptr<engine_stream> stream);

    /// Sequences in the batch, and sequences that wait for a place in it.
    [[nodiscard]] std::size_t running() const noexcept { return m_running.size(); }
    [[nodiscard]] std::size_t waiting() const noexcept { return m_waiting.size(); }
    /// Prompt tokens that are still to be computed, over all running and waiting sequences.
    [[nodiscard]] std::uint64_t prefill_backlog() const;

private:
    using stream_list = std::list<std::shared_ptr<engine_stream>>;

    void schedule();
    void tick();
    void admit();
    double prefill(double seconds);
    void decode(double seconds);
    void finish_prefill(engine_stream& stream);
    [[nodiscard]] bool is_stalled(const engine_stream& stream) const;

    engine_speed m_speed;
    prefix_cache& m_cache;
    const fault_controls& m_faults;
    std::deque<std::shared_ptr<engine_stream>> m_waiting;
    stream_list m_running;
    boost::asio::steady_timer m_timer;
    bool m_is_scheduled = false;
    std::chrono::steady_clock::time_point m_last;
};

} // namespace borageford::test
