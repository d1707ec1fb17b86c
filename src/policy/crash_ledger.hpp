// The crashes of backend servers that requests may have caused, as known to all gateways.
#pragma once

#include "policy/crash_mark.hpp"
#include "policy/quarantine.hpp"

#include <array>
#include <chrono>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace borageford::policy {

/// Quarantines requests that may have run on several servers when these crashed. The caller of a request that
/// crashes every server only sees broken connections and sends the request again and again; each time, the
/// other requests on that server fail as well.
///
/// Every gateway has a ledger and tells the others what it adds, so that any of them can refuse a quarantined
/// request, whoever grants slots.
///
/// Invariants: a mark counts once, however often and by whomever it is reported, and in whatever order marks
/// and clearances arrive. The numbers of marks and clearances are bounded; the oldest go first.
class crash_ledger {
public:
    crash_ledger();

    enum class change : std::uint8_t {
        none,        ///< the mark is known already, or void
        marked,      ///< it is news
        quarantined, ///< it is news, and the suspect is quarantined from now on, or longer than before
    };
    change add(const crash_mark& mark, time_point now);

    enum class clearing : std::uint8_t {
        none,     ///< the clearance is known already
        recorded, ///< it is news, but voids no mark that is known here
        cleared,  ///< it voids marks
    };
    clearing clear(const crash_clearance& clearance);

    /// Remaining time of the quarantine; nothing when the suspect isn't quarantined.
    [[nodiscard]] std::optional<duration> quarantine_left(const crash_suspect& suspect, time_point now) const;
    /// Whether one request with a quarantined part may be sent, to see whether the part is harmless. Nothing
    /// else would tell: no request with the part is answered meanwhile.
    [[nodiscard]] bool is_probe_due(const crash_suspect& suspect, time_point now) const;
    /// Number of servers that crashed while they may have run it, as far as these marks still count.
    [[nodiscard]] std::size_t marks(const crash_suspect& suspect, time_point now) const;
    /// All marks of the suspect that aren't void.
    [[nodiscard]] std::vector<crash_mark> list_marks(const crash_suspect& suspect) const;
    /// Whether no mark is known, so that nothing else needs to be looked up.
    [[nodiscard]] bool is_empty() const noexcept { return m_marks.empty(); }
    [[nodiscard]] std::size_t size() const noexcept { return m_marks.size(); }
    /// Number of marks that were dropped because there were too many.
    [[nodiscard]] std::uint64_t dropped() const noexcept { return m_dropped; }
    [[nodiscard]] std::size_t count_quarantined(time_point now) const;

    /// What to tell a process that may know nothing: at most `max_stated` marks and as many clearances, the
    /// marks of quarantined suspects first and then the latest.
    [[nodiscard]] crash_statement state(time_point now) const;

    /// They fit into one datagram.
    static constexpr std::size_t max_stated = 32;

private:
    [[nodiscard]] quarantine& quarantine_of(suspect_kind kind) {
        return m_quarantines.at(static_cast<std::size_t>(kind));
    }
    [[nodiscard]] const quarantine& quarantine_of(suspect_kind kind) const {
        return m_quarantines.at(static_cast<std::size_t>(kind));
    }
    void drop_oldest(time_point now);

    std::array<quarantine, 2> m_quarantines; ///< by suspect_kind
    std::deque<crash_mark> m_marks;          ///< the marks that aren't void, in the order of their arrival
    std::map<crash_suspect, crash_clearance> m_clearances;
    std::uint64_t m_dropped = 0;
};

} // namespace borageford::policy
