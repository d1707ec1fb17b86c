// Tracks which start (process incarnation) of each backend server is the current one.
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

/// A server that crashed may start again under the same id, and a delayed registration row of the start
/// before the crash may be stored after the first row of the new start. If this old row were applied,
/// requests would be sent to a process that no longer exists: their connections would hang until their
/// callers leave. The start times in the rows can't tell which start is later, since clocks are stepped.
/// Therefore the order of the rows decides: a start that was followed by another one is superseded and never
/// becomes current again.
class server_starts {
public:
    /// How a registration row relates to the known starts of its server.
    enum class verdict : std::uint8_t {
        first,      ///< no start of the id was known
        same,       ///< names the current start
        restarted,  ///< names a new start, which is the current one from now on
        superseded, ///< names a start that was followed by another one; the current start stays
        /// Names no start although earlier rows of the id did, so the server itself can't have written this
        /// row.
        unstated,
    };

    /// Records the start that a registration row of the server `id` names; 0 if the row names none.
    verdict take(std::string_view id, std::uint64_t start);

    /// Removes the current start of an id that is no longer registered. Its superseded starts stay
    /// superseded.
    void forget(std::string_view id);

private:
    using named_start = std::pair<std::string, std::uint64_t>;

    void supersede(std::string_view id, std::uint64_t start);

    std::map<std::string, std::uint64_t, std::less<>> m_current; ///< the current start of each id
    std::set<named_start> m_superseded;
    std::deque<named_start> m_order; ///< the entries of m_superseded, oldest first
};

} // namespace borageford::policy
