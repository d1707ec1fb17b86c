// Writes the answer to one caller, either streamed piece by piece or buffered and written when complete, so
// that the caller can never mistake an incomplete answer for a complete one.
#pragma once

#include "entry/answer_memory.hpp"
#include "entry/call.hpp"
#include "http/server.hpp"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace borageford::entry {

/// The answer to one call. A successful answer to a streamed call is written to the caller as its pieces
/// arrive; every other answer is buffered until finish().
/// Invariant: the first `m_received` bytes of the answer have been accepted, each once and in order.
class caller_answer {
public:
    /// `size_limit` and `memory` bound the bytes of a buffered answer; streamed answers have no limit.
    caller_answer(const call& request, http::response_writer& writer, std::size_t size_limit,
                  answer_memory& memory);

    /// Sets the status and content type of the backend server's answer. Only the first call has an effect:
    /// a sidecar sends the head again after each attach message.
    boost::asio::awaitable<void> set_head(unsigned status, std::string content_type);

    /// Accepts bytes of the answer that begin at `offset`; bytes that were accepted before are dropped.
    /// Returns false when bytes before `offset` are missing: the answer must then be requested again from
    /// received() on. Throws request_error(backend_garbled) when a buffered answer exceeds its limits.
    boost::asio::awaitable<bool> append(std::uint64_t offset, std::string_view bytes);

    /// Ends the answer. Must only be called once all bytes of the answer have been accepted.
    boost::asio::awaitable<void> finish();

    /// The number of bytes of the answer that have been accepted.
    [[nodiscard]] std::uint64_t received() const noexcept { return m_received; }
    [[nodiscard]] bool has_head() const noexcept { return m_status != 0; }
    /// True once anything has been sent to the caller; from then on an error response is no longer possible.
    [[nodiscard]] bool has_begun() const noexcept { return m_has_begun; }
    /// When the first bytes were accepted; nothing before that.
    [[nodiscard]] std::optional<std::chrono::steady_clock::time_point> first_piece_time() const noexcept {
        return m_first_piece_time;
    }

private:
    const call& m_call;
    http::response_writer& m_writer;
    std::size_t m_size_limit;
    answer_memory::account m_memory;
    unsigned m_status = 0; ///< HTTP status; 0 until the head has arrived
    std::string m_content_type;
    std::string m_buffer; ///< bytes of a buffered answer
    std::uint64_t m_received = 0;
    bool m_has_begun = false;
    std::optional<std::chrono::steady_clock::time_point> m_first_piece_time;
};

} // namespace borageford::entry
