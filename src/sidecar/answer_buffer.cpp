// Implementation of answer_buffer, which stores the bytes of one answer.
#include "sidecar/answer_buffer.hpp"

#include <algorithm>
#include <utility>

namespace borageford::sidecar {

namespace {

/// Also the most bytes of an answer in one frame, far below the frame size limit, so that heartbeats can be
/// sent between them.
constexpr std::size_t block_size = 64U * 1024;

} // namespace

void answer_buffer::append(std::string_view bytes) {
    m_length += bytes.size();
    while (!bytes.empty()) {
        if (m_blocks.empty() || m_blocks.back().size() == block_size) {
            m_blocks.emplace_back();
        }
        auto& last = m_blocks.back();
        const auto piece = bytes.substr(0, block_size - last.size());
        last.append(piece);
        bytes.remove_prefix(piece.size());
    }
}

void answer_buffer::end(answer_ending ending) {
    m_ending = ending;
    if (!m_blocks.empty()) {
        m_blocks.back().shrink_to_fit();
    }
}

std::string_view answer_buffer::from(std::uint64_t offset) const noexcept {
    if (offset >= m_length) {
        return {};
    }
    return std::string_view(m_blocks[offset / block_size]).substr(offset % block_size);
}

std::string answer_buffer::body() const {
    std::string whole;
    whole.reserve(m_length);
    for (const auto& block : m_blocks) {
        whole.append(block);
    }
    return whole;
}

} // namespace borageford::sidecar
