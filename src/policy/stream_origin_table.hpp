// The software versions that began the streams which callers may still resume.
#pragma once

#include "policy/stream_origin.hpp"
#include "policy/time.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>

namespace borageford::policy {

/// Remembers each stream for a while after it was noted last, and the most recent ones if there are too many.
class stream_origin_table {
public:
    /// An entry takes about 100 bytes, so that these are 6.5 MB. A keeper is told all streams of the system:
    /// at 1,000 a second, 30,000 in half a minute.
    static constexpr std::size_t default_capacity = 65536;

    /// `lifetime`: for how long a caller may come back for a stream.
    explicit stream_origin_table(duration lifetime, std::size_t capacity = default_capacity)
        : m_lifetime(lifetime), m_capacity(capacity) {}

    /// Notes an origin. If another one of the same stream is known, two callers have used the same id, and it
    /// can't be told any more which version began the stream.
    void add(const stream_origin& origin, time_point now);
    /// The origin of a stream; nothing if the stream isn't known.
    [[nodiscard]] std::optional<stream_origin> find(stream_key stream, time_point now) const;

    [[nodiscard]] std::size_t size() const noexcept { return m_origins.size(); }
    /// Number of streams that were dropped before their time because there were too many.
    [[nodiscard]] std::uint64_t dropped() const noexcept { return m_dropped; }

private:
    struct noted_stream {
        time_point noted;
        stream_key stream = 0;
    };

    [[nodiscard]] bool is_outdated(const noted_stream& entry) const;
    void make_room(time_point now);

    duration m_lifetime;
    std::size_t m_capacity;
    std::unordered_map<stream_key, stream_origin> m_origins;
    /// The streams in the order in which they were noted. A stream that was noted again has several entries,
    /// of which only the last one counts.
    std::deque<noted_stream> m_order;
    std::uint64_t m_dropped = 0;
};

} // namespace borageford::policy
