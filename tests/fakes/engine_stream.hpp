// One run at an engine: its progress and the bytes of its answer, kept so that a reader can resume at any
// byte.
#pragma once

#include "fakes/engine_request.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <memory>
#include <string>

namespace borageford::test {

/// Invariant: bytes are only added, and none after `is_finished`.
class engine_stream {
public:
    engine_stream(const boost::asio::any_io_executor& executor, std::string id, engine_request request);

    /// Adds the next token to the answer; the last one also ends it.
    void add_token();
    /// Adds bytes that are no answer and ends it.
    void add_rubbish();
    void cancel();

    /// Returns once there are bytes from the offset on, or there will be none any more.
    boost::asio::awaitable<void> wait_for(std::size_t offset);
    /// Ends every wait, so that a reader looks again.
    void wake();

    std::string id;
    engine_request request;
    std::string bytes;
    std::uint32_t cached_tokens = 0;
    double prefill_left = 0;
    double token_progress = 0; ///< share of the next token that is done
    std::uint32_t tokens_done = 0;
    std::uint32_t prefilled_tokens = 0;
    std::uint32_t repeated_tokens = 0; ///< of them, those prefilled here before
    bool is_finished = false;
    bool is_cancelled = false;
    bool is_delivered = false; ///< a reader was sent the whole
    std::chrono::steady_clock::time_point ended_at;

private:
    void finish();
    void append_event(std::string_view choice);
    [[nodiscard]] std::string usage() const;
    [[nodiscard]] std::string whole_answer() const;

    std::string m_quoted_model;
    boost::asio::steady_timer m_changed; ///< never expires; cancelled to wake those that wait
};

} // namespace borageford::test
