// Counts from the logs of all gateways how requests ended, by route, workspace and time: in time, or late,
// refused, failed or abandoned, with the cause.
#pragma once

#include "diagnosis/log_record.hpp"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <iosfwd>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace borageford::diagnosis {

/// How a request ended, according to a gateway's log. When a refused caller sends its request again, the
/// retry counts as another request, because the lines of gateways don't mark retries.
enum class request_end : std::uint8_t {
    in_time,        ///< its first event and all later events came within their targets
    late_by_wait,   ///< its first event came too late, after a long wait for a slot
    late_at_server, ///< its first event came too late, although the request waited only briefly for a slot
    late_by_pause,  ///< its first event was in time, but a pause between two later events was too long
    refused_load,   ///< refused because of the load, or because the gateway was shutting down
    refused_limit,  ///< refused because of its workspace's quota, the retry budget, or its quarantine
    refused_server, ///< refused because the rate limits that servers name left no room
    refused_memory, ///< refused because the engines' memory had no room, or could never hold its prompt
    refused_caller, ///< refused for an error of the caller: an unknown key, no such path, too large
    failed,         ///< answered with an error after a server may have run it, or after its deadline
    cut,            ///< its stream was aborted before the end
    cut_slow,       ///< its answer was aborted because its caller read too slowly
    stream_lost,    ///< refused or aborted because the software version that began its stream isn't known or
                    ///< left
    left,           ///< its caller closed the connection before the answer was complete
    last_end = left
};

/// The name of a way to end, for example "late_by_wait".
[[nodiscard]] std::string_view to_string(request_end end) noexcept;

/// How the request of this line ended; nothing when the line reports no end of a request.
[[nodiscard]] std::optional<request_end> classify(const log_record& record);

/// Collects the lines of any number of processes, in any order, and then prints the counts.
class loss_report {
public:
    /// `window` is the length of the time windows that are counted separately.
    explicit loss_report(std::chrono::seconds window) : m_window(window) {}

    /// Counts the line if it reports the end of a request.
    void add(const log_record& record);

    /// Whether any line reported the end of a request.
    [[nodiscard]] bool has_requests() const noexcept { return m_all.total() > 0; }
    /// Prints the tables.
    void print(std::ostream& out) const;

private:
    static constexpr auto end_count = static_cast<std::size_t>(request_end::last_end) + 1;

    /// Counts of requests, indexed by request_end.
    struct tally {
        std::array<std::uint64_t, end_count> ends{};
        [[nodiscard]] std::uint64_t total() const noexcept;
    };
    using tallies = std::map<std::string, tally, std::less<>>;

    static void print_heading(std::ostream& out, std::string_view what);
    static void print_row(std::ostream& out, std::string_view name, const tally& row);
    static void print_table(std::ostream& out, std::string_view what, const tallies& rows);

    std::chrono::seconds m_window;
    tally m_all;
    tallies m_routes;
    tallies m_workspaces;
    std::map<log_time, tally> m_windows; ///< by the begin of the window
    std::uint64_t m_left_out = 0;        ///< requests whose lines were dropped by the rate limit
};

} // namespace borageford::diagnosis
