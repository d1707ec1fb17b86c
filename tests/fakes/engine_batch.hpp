// How an engine spends its time: one tick drives all sequences, prefill delays the tokens of others, and
// every further sequence slows all of them.
#pragma once

#include "fakes/engine_stream.hpp"
#include "fakes/fault_controls.hpp"
#include "fakes/prefix_cache.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <deque>
#include <list>

namespace borageford::test {

struct engine_speed {
    double prefill_tokens_per_second = 8000;
    double output_tokens_per_second = 60; ///< one sequence alone
    double batch_knee = 16;               ///< with n running, a token takes 1 + n / knee times as long
    std::size_t slots = 256;              ///< sequences in the batch; others wait in order of arrival
};

/// Invariant: the timer runs only while there is work, so an idle engine costs nothing.
class engine_batch {
public:
    engine_batch(const boost::asio::any_io_executor& executor, engine_speed speed, prefix_cache& cache,
                 const fault_controls& faults);

    void add(std::shared_ptr<engine_stream> stream);

    [[nodiscard]] std::size_t running() const noexcept { return m_running.size(); }
    [[nodiscard]] std::size_t waiting() const noexcept { return m_waiting.size(); }
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
