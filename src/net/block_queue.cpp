// Implements block_queue.
#include "net/block_queue.hpp"

#include <algorithm>

namespace borageford::net {

void block_queue::append(std::string_view bytes) {
    while (!bytes.empty()) {
        const auto end = m_begin + m_size;
        const auto offset = end % block_size;
        if (end == m_blocks.size() * block_size) {
            m_blocks.push_back(std::make_unique<block>());
        }
        const auto count = std::min(bytes.size(), block_size - offset);
        std::copy_n(bytes.data(), count, m_blocks.back()->data() + offset);
        m_size += count;
        bytes.remove_prefix(count);
    }
}

void block_queue::consume(std::size_t count) noexcept {
    const auto consumed = std::min(count, m_size);
    m_begin += consumed;
    m_size -= consumed;
    while (m_begin >= block_size) {
        m_blocks.pop_front();
        m_begin -= block_size;
    }
    if (m_size == 0) {
        m_blocks.clear();
        m_begin = 0;
    }
}

std::size_t block_queue::front(std::span<std::string_view> pieces) const noexcept {
    std::size_t filled = 0;
    std::size_t begin = m_begin;
    std::size_t left = m_size;
    while (filled < pieces.size() && left > 0) {
        const auto count = std::min(left, block_size - begin);
        pieces[filled] = {m_blocks[filled]->data() + begin, count};
        ++filled;
        left -= count;
        begin = 0;
    }
    return filled;
}

} // namespace borageford::net
