// One run of a request on fake_engine: its progress and the bytes of its answer, which are kept so that a
// reader can resume at any byte.
#pragma once

#include "fakes/engine_request.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <memory>
#include <string>

namespace borageford::test {

/// Invariant: `bytes` only grows, and doesn't change once `is_finished` is true.
class engine_stream {
public:
    engine_stream(const boost::asio::any_io_executor& executor, std::string id, engine_request request);

    /// Adds the next token to the answer; the last token also finishes the run.
    void add_token();
    /// Adds bytes that aren't a valid answer and finishes the run.
    void add_rubbish();
    /// Finishes the run without completing the answer.
    void cancel();

    /// Waits until the answer has bytes beyond the offset or the run is finished.
    boost::asio::awaitable<void> wait_for(std::size_t offset);
    /// Wakes all waiting readers, which then check the answer again.
    void wake();

    std::string id;
    engine_request request;
    std::string bytes;                  ///< the answer so far
    std::uint32_t cached_tokens = 0;    ///< prompt tokens that were in the prefix cache
    double prefill_left = 0;            ///< prompt tokens still to be computed
    double token_progress = 0;          ///< fraction of the next output token that is computed
    std::uint32_t tokens_done = 0;      ///< output tokens
    std::uint32_t prefilled_tokens = 0; ///< prompt tokens that were computed for this run
    std::uint32_t repeated_tokens = 0;  ///< prefilled tokens that this engine had computed before
    bool is_finished = false;
    bool is_cancelled = false;
    bool is_delivered = false; ///< the complete answer was sent to a reader
    std::chrono::steady_clock::time_point ended_at;

private:
    void finish();
    void append_event(std::string_view choice);
    [[nodiscard]] std::string usage() const;
    [[nodiscard]] std::string complete_answer() const;

    std::string m_quoted_model;
    boost::asio::steady_timer m_changed; ///< never expires; cancelled to wake waiting readers
};

} // namespace borageford::test
