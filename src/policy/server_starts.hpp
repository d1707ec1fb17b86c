// Which start of each backend server is the present one.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace borageford::policy {

/// A server that crashes may start again under its old id, and what its former start wrote may be stored
/// after the first word of the new one. Taken for news it would bring a dead start back: its connections
/// hang, and requests wait there until their callers leave. The time that a start names can't tell which is
/// later, since clocks step; so the order of the entries decides, and a start that was followed by another
/// never returns.
class server_starts {
public:
    enum class verdict : std::uint8_t {
        first,      ///< nothing was known of the id
        same,       ///< the start that is known
        restarted,  ///< another start than the one that was known
        superseded, ///< one that was followed by another: changes nothing
        untold,     ///< names no start, though the id has named one: not the server's own word
    };

    /// Takes the start that an entry of the id names; 0: none.
    verdict take(std::string_view id, std::uint64_t start);

    /// The id is registered no more. What it was before stays superseded.
    void forget(std::string_view id);

private:
    using named_start = std::pair<std::string, std::uint64_t>;

    void supersede(std::string_view id, std::uint64_t start);

    std::map<std::string, std::uint64_t, std::less<>> m_present;
    std::set<named_start> m_superseded;
    std::deque<named_start> m_order; ///< of m_superseded, the oldest first
};

} // namespace borageford::policy
