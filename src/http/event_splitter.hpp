// Cuts a stream of server-sent events into whole events, so that no part of one is ever passed on.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace borageford::http {

class event_splitter {
public:
    /// Takes bytes; returns all whole events that are there, valid until the next call.
    [[nodiscard]] std::string_view add(std::string_view bytes);

    /// Bytes of an event whose end hasn't come.
    [[nodiscard]] bool has_part() const noexcept { return m_passed < m_bytes.size(); }

    /// The id of the last whole event; nothing before the first that has one.
    [[nodiscard]] const std::optional<std::string>& last_id() const noexcept { return m_last_id; }
    /// The id of the first event that was seen.
    [[nodiscard]] const std::optional<std::string>& first_id() const noexcept { return m_first_id; }
    [[nodiscard]] std::uint64_t count() const noexcept { return m_count; }

private:
    void take_event(std::string_view event);

    std::string m_bytes;
    std::size_t m_passed = 0; ///< of m_bytes, given out by the last call
    std::optional<std::string> m_first_id;
    std::optional<std::string> m_last_id;
    std::uint64_t m_count = 0;
};

} // namespace borageford::http
