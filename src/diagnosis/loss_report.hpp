// What callers didn't get, and why: counted from the logs of all gateways, by route, workspace and time.
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

/// How a request ended, as a gateway's log tells it. A caller that was refused and came back is a request of
/// its own here: gateways don't tell the two from each other in their lines.
enum class request_end : std::uint8_t {
    in_time,
    late_by_wait,   ///< its first event came too late, after a long wait for a slot
    late_at_server, ///< its first event came too late, though it was given a slot early
    late_by_pause,  ///< its first event was in time, and a pause between two events too long
    refused_load,   ///< no server could have served it in time
    refused_limit,  ///< over its workspace's allowance, or the retry budget
    refused_caller, ///< unknown key, no such path, too large: not the system's to serve
    failed,         ///< an error after a server may have run it, or its time was over
    cut,            ///< a stream that was ended in the middle
    left,           ///< its caller closed the connection
    last_end = left
};

[[nodiscard]] std::string_view to_string(request_end end) noexcept;

/// What one line tells; nothing for lines that end no request.
[[nodiscard]] std::optional<request_end> classify(const log_record& record);

/// Takes the lines of any number of processes in any order, then tells.
class loss_report {
public:
    /// `window`: length of the spans of time that are told apart.
    explicit loss_report(std::chrono::seconds window) : m_window(window) {}

    void take(const log_record& record);

    [[nodiscard]] bool has_requests() const noexcept { return m_all.total() > 0; }
    void tell(std::ostream& out) const;

private:
    static constexpr auto end_count = static_cast<std::size_t>(request_end::last_end) + 1;

    struct tally {
        std::array<std::uint64_t, end_count> ends{};
        [[nodiscard]] std::uint64_t total() const noexcept;
    };
    using tallies = std::map<std::string, tally, std::less<>>;

    static void tell_heading(std::ostream& out, std::string_view what);
    static void tell_row(std::ostream& out, std::string_view name, const tally& row);
    static void tell_table(std::ostream& out, std::string_view what, const tallies& rows);

    std::chrono::seconds m_window;
    tally m_all;
    tallies m_routes;
    tallies m_workspaces;
    std::map<log_time, tally> m_windows;
    std::uint64_t m_left_out = 0;
};

} // namespace borageford::diagnosis
