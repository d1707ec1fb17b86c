// Implements byte_buffer. prepare() first moves the unread bytes to the front and allocates only when that
// doesn't make enough space; moving is cheap because few bytes are usually unread.
#include "net/byte_buffer.hpp"

#include <algorithm>

namespace borageford::net {

std::span<char> byte_buffer::prepare(std::size_t count) {
    if (is_empty()) {
        m_begin = 0;
        m_end = 0;
    }
    if (m_bytes.size() - m_end < count && m_begin > 0) {
        std::copy(m_bytes.data() + m_begin, m_bytes.data() + m_end, m_bytes.data());
        m_end -= m_begin;
        m_begin = 0;
    }
    if (m_bytes.size() - m_end < count) {
        m_bytes.resize(m_end + count);
    }
    return {m_bytes.data() + m_end, m_bytes.size() - m_end};
}

void byte_buffer::consume(std::size_t count) noexcept {
    m_begin += std::min(count, size());
}

void byte_buffer::append(std::string_view bytes) {
    const auto room = prepare(bytes.size());
    std::ranges::copy(bytes, room.begin());
    commit(bytes.size());
}

void byte_buffer::release() {
    if (is_empty() && !m_bytes.empty()) {
        m_bytes = std::vector<char>();
        m_begin = 0;
        m_end = 0;
    }
}

} // namespace borageford::net
