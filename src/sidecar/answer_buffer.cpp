// Implementation of answer_buffer, which stores the bytes of one answer.
#include "sidecar/answer_buffer.hpp"

#include <utility>

namespace borageford::sidecar {

void answer_buffer::append(std::string_view bytes) {
    m_body.append(bytes);
}

void answer_buffer::end(answer_ending ending) {
    m_ending = ending;
    m_body.shrink_to_fit();
}

std::string_view answer_buffer::from(std::uint64_t offset) const noexcept {
    return offset >= m_body.size() ? std::string_view() : std::string_view(m_body).substr(offset);
}

} // namespace borageford::sidecar
