// Splits a stream of server-sent events into complete events, so that no partial event is forwarded.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace borageford::http {

/// Collects the bytes of one stream and returns the events that are complete.
class event_splitter {
public:
    /// Appends bytes and returns all events that are complete now and weren't returned before. The result is
    /// valid until the next call.
    [[nodiscard]] std::string_view add(std::string_view bytes);

    /// Whether the stream so far ends with an incomplete event.
    [[nodiscard]] bool has_partial_event() const noexcept { return partial_size() > 0; }
    /// Number of bytes of the incomplete event.
    [[nodiscard]] std::size_t partial_size() const noexcept { return m_bytes.size() - m_returned_size; }

    /// The last event id in the complete events; std::nullopt when none of them had an id.
    [[nodiscard]] const std::optional<std::string>& last_id() const noexcept { return m_last_id; }
    /// The first event id in the complete events; std::nullopt when none of them had an id.
    [[nodiscard]] const std::optional<std::string>& first_id() const noexcept { return m_first_id; }
    /// Number of complete events.
    [[nodiscard]] std::uint64_t count() const noexcept { return m_count; }

private:
    void read_id(std::string_view event);

    std::string m_bytes;
    std::size_t m_returned_size = 0; ///< number of bytes at the front of m_bytes that the last add() returned
    std::optional<std::string> m_first_id;
    std::optional<std::string> m_last_id;
    std::uint64_t m_count = 0;
};

} // namespace borageford::http
