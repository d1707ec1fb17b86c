// The answer to one caller, written whole or as it comes, and the promise that a part is never taken for
// the whole.
#pragma once

#include "entry/call.hpp"
#include "http/server.hpp"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace borageford::entry {

/// Invariant: `m_received` bytes of the answer have been taken, each once and in order.
class caller_answer {
public:
    caller_answer(const call& request, http::response_writer& writer, std::size_t size_limit);

    /// The head of the backend server's answer; later ones (after an attach) are ignored.
    boost::asio::awaitable<void> take_head(unsigned status, std::string content_type);

    /// Bytes from `offset` on. Bytes that have been taken before are dropped. Returns false when bytes
    /// before these are missing: the rest must be asked for again.
    boost::asio::awaitable<bool> take(std::uint64_t offset, std::string_view bytes);

    /// Ends the answer; call only when received() is the whole length.
    boost::asio::awaitable<void> finish();

    [[nodiscard]] std::uint64_t received() const noexcept { return m_received; }
    [[nodiscard]] bool has_head() const noexcept { return m_status != 0; }
    /// True once the caller has been sent anything: an error can no longer be its answer.
    [[nodiscard]] bool has_begun() const noexcept { return m_begun; }
    [[nodiscard]] std::optional<std::chrono::steady_clock::time_point> first_piece() const noexcept {
        return m_first_piece;
    }

private:
    const call& m_call;
    http::response_writer& m_writer;
    std::size_t m_size_limit;
    unsigned m_status = 0;
    std::string m_content_type;
    std::string m_whole; ///< of an answer that isn't streamed
    std::uint64_t m_received = 0;
    bool m_begun = false;
    std::optional<std::chrono::steady_clock::time_point> m_first_piece;
};

} // namespace borageford::entry
