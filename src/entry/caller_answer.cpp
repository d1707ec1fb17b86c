// Writes the answer of a call to its caller.
#include "entry/caller_answer.hpp"

#include "base/request_error.hpp"
#include "entry/call_parser.hpp"

#include <utility>

namespace borageford::entry {

namespace asio = boost::asio;

namespace {

/// Memory that is taken in advance for an answer that grows: this part of what it has already.
constexpr std::size_t spare_part = 4;

} // namespace

caller_answer::caller_answer(const call& request, http::response_writer& writer, std::size_t size_limit,
                             answer_memory& memory)
    : m_call(request), m_writer(writer), m_size_limit(size_limit), m_memory(memory) {}

asio::awaitable<void> caller_answer::set_head(unsigned status, std::string content_type) {
    if (has_head()) {
        co_return;
    }
    m_status = status;
    m_content_type = std::move(content_type);
    const bool is_success = status < 300;
    if (!m_call.is_streamed || !is_success) {
        co_return;
    }
    m_has_begun = true;
    const http::response_head head{m_status,
                                   {{"Content-Type", m_content_type},
                                    {"Cache-Control", "no-cache"},
                                    {std::string(request_id_header), m_call.id.to_string()}}};
    co_await m_writer.begin(head);
}

asio::awaitable<bool> caller_answer::append(std::uint64_t offset, std::string_view bytes) {
    if (offset > m_received) {
        co_return false;
    }
    const auto already_received = m_received - offset;
    if (already_received >= bytes.size()) {
        co_return true; // a repeated piece: all of its bytes were accepted before
    }
    bytes.remove_prefix(static_cast<std::size_t>(already_received));
    if (!m_first_piece_time) {
        m_first_piece_time = std::chrono::steady_clock::now();
    }
    m_received += bytes.size();
    if (m_has_begun) {
        co_await m_writer.write_piece(bytes);
        co_return true;
    }
    if (m_buffer.size() + bytes.size() > m_size_limit || !m_memory.take(bytes.size())) {
        throw request_error(error_kind::backend_garbled, "The answer is over this entry's limit.");
    }
    const auto needed = m_buffer.size() + bytes.size();
    if (needed > m_buffer.capacity()) {
        m_buffer.reserve(needed + needed / spare_part);
    }
    m_buffer.append(bytes);
    co_return true;
}

asio::awaitable<void> caller_answer::finish() {
    if (m_has_begun) {
        co_await m_writer.finish();
        co_return;
    }
    m_has_begun = true;
    auto answer = http::make_response(m_status, m_content_type, std::move(m_buffer));
    answer.head.headers.push_back({std::string(request_id_header), m_call.id.to_string()});
    co_await m_writer.write(answer);
}

} // namespace borageford::entry
