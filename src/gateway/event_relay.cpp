// Implementation of event_relay: http::event_splitter finds the events, this class checks that events from a
// further server continue the stream.
#include "gateway/event_relay.hpp"

#include "base/parse_number.hpp"
#include "http/response_reader.hpp"

namespace borageford::gateway {

namespace {

std::optional<std::uint64_t> parse_id(const std::optional<std::string>& text) {
    return text.has_value() ? parse_number<std::uint64_t>(*text) : std::nullopt;
}

} // namespace

std::string_view event_relay::add(std::string_view bytes) {
    const auto before = m_splitter.count();
    const auto complete_events = m_splitter.add(bytes);
    if (complete_events.empty()) {
        return complete_events;
    }
    if (m_continues) {
        check_continuation();
        m_continues = false;
    }
    m_count += m_splitter.count() - before;
    m_last_id = m_splitter.last_id().has_value() ? m_splitter.last_id() : m_last_id;
    return complete_events;
}

void event_relay::check_continuation() const {
    const auto last = parse_id(m_last_id);
    const auto next = parse_id(m_splitter.first_id());
    if (!last.has_value() || !next.has_value() || *next != *last + 1) {
        throw http::response_error("the stream doesn't go on where it broke off");
    }
}

void event_relay::handle_broken_connection() {
    m_splitter = {};
    m_continues = m_count > 0;
}

} // namespace borageford::gateway
