// Non-blocking writes to a descriptor in blocking mode: poll() tells whether the descriptor is writable, and
// a writable pipe accepts at least PIPE_BUF bytes without blocking.
#include "events/line_buffer.hpp"

#include <algorithm>
#include <climits>
#include <poll.h>
#include <unistd.h>

namespace borageford::events {

namespace {

bool is_writable(int descriptor) noexcept {
    pollfd request{descriptor, POLLOUT, 0};
    return ::poll(&request, 1, 0) == 1 && (request.revents & POLLOUT) != 0;
}

} // namespace

void line_buffer::add(std::string_view line) {
    const std::scoped_lock lock(m_mutex);
    if (m_bytes.size() - m_written + line.size() + 1 > m_capacity) {
        ++m_lost;
        return;
    }
    m_bytes.append(line).push_back('\n');
}

void line_buffer::flush() noexcept {
    const std::scoped_lock lock(m_mutex);
    while (m_written < m_bytes.size() && is_writable(m_descriptor)) {
        const auto count = std::min<std::size_t>(m_bytes.size() - m_written, PIPE_BUF);
        const auto written = ::write(m_descriptor, m_bytes.data() + m_written, count);
        if (written <= 0) {
            break;
        }
        m_written += static_cast<std::size_t>(written);
    }
    if (m_written == m_bytes.size()) {
        m_bytes.clear();
        m_written = 0;
    } else if (m_written > m_capacity / 2) {
        m_bytes.erase(0, m_written);
        m_written = 0;
    }
}

std::uint64_t line_buffer::lost() const noexcept {
    const std::scoped_lock lock(m_mutex);
    return m_lost;
}

bool line_buffer::is_empty() const noexcept {
    const std::scoped_lock lock(m_mutex);
    return m_written == m_bytes.size();
}

} // namespace borageford::events
