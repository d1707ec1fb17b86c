// Implements event_splitter. An event in a stream ends with an empty line.
#include "http/event_splitter.hpp"

#include <algorithm>

namespace borageford::http {
namespace {

constexpr std::string_view id_field = "id:";
/// Bytes of an event's end that may be at the end of an incomplete event: a line feed and a carriage return.
constexpr std::size_t longest_partial_end = 2;

/// The position after the empty line that ends the first event after `from`; npos when there is no complete
/// event.
std::size_t find_event_end(std::string_view bytes, std::size_t from) {
    for (auto line_end = bytes.find('\n', from); line_end != std::string_view::npos;
         line_end = bytes.find('\n', line_end + 1)) {
        const auto rest = bytes.substr(line_end + 1);
        if (rest.starts_with('\n')) {
            return line_end + 2;
        }
        if (rest.starts_with("\r\n")) {
            return line_end + 3;
        }
    }
    return std::string_view::npos;
}

} // namespace

std::string_view event_splitter::add(std::string_view bytes) {
    m_bytes.erase(0, m_returned_size);
    m_returned_size = 0;
    // Searching a long event from its begin each time would take a time that grows with its square.
    const auto unsearched = std::max(m_bytes.size(), longest_partial_end) - longest_partial_end;
    m_bytes.append(bytes);
    const std::string_view all(m_bytes);
    for (auto end = find_event_end(all, unsearched); end != std::string_view::npos;
         end = find_event_end(all, m_returned_size)) {
        read_id(all.substr(m_returned_size, end - m_returned_size));
        m_returned_size = end;
    }
    return all.substr(0, m_returned_size);
}

void event_splitter::read_id(std::string_view event) {
    ++m_count;
    std::size_t begin = 0;
    while (begin < event.size()) {
        const auto end = std::min(event.find('\n', begin), event.size());
        auto line = event.substr(begin, end - begin);
        begin = end + 1;
        if (!line.starts_with(id_field)) {
            continue;
        }
        line.remove_prefix(id_field.size());
        const auto first = line.find_first_not_of(' ');
        const auto last = line.find_last_not_of("\r ");
        m_last_id = first == std::string_view::npos ? "" : std::string(line.substr(first, last - first + 1));
        if (!m_first_id.has_value()) {
            m_first_id = m_last_id;
        }
    }
}

} // namespace borageford::http
