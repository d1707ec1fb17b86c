// The timeline of one request, gathered from logs: the lines about the request, the coordinator's refusal of
// a slot for it, and the state that the processes which handled it assumed at the time.
#pragma once

#include "diagnosis/log_record.hpp"

#include <cstdint>
#include <iosfwd>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace borageford::diagnosis {

/// Collects the lines of any number of processes, in any order, and then prints those that concern one
/// request.
class request_timeline {
public:
    /// `id` is the caller's id of the request, which is the field `request` of the log lines.
    explicit request_timeline(std::string id) : m_id(std::move(id)) {}

    /// Stores the line if it may concern the request.
    void add(log_record record);

    /// Whether any line about the request was found.
    [[nodiscard]] bool has_lines() const noexcept { return !m_request_lines.empty(); }

    /// Prints the timeline as text. When no line about the request was found, it prints how many lines were
    /// dropped and may therefore be missing.
    void print(std::ostream& out) const;

    /// One sentence about how the request ended.
    [[nodiscard]] std::string outcome() const;

private:
    /// Lines sorted by time.
    using timeline = std::multimap<log_time, log_record>;

    [[nodiscard]] timeline lines_about_request() const;
    [[nodiscard]] std::set<std::string> vms_of(const timeline& lines) const;
    void print_state(std::ostream& out, const std::string& vm, log_time at) const;
    void print_lines(std::ostream& out, const timeline& lines, const std::set<std::string>& vms) const;
    void print_missing_lines(std::ostream& out) const;

    std::string m_id;
    std::vector<log_record> m_request_lines; ///< the lines about the request
    /// Coordinators' refusals of slots, by ticket. Which tickets belong to the request is known only when all
    /// lines have been read.
    std::unordered_map<std::string, log_record> m_slot_refusals;
    /// Lines about no request, by VM: they tell the state that the VM's process assumed.
    std::map<std::string, timeline> m_state_changes;
    std::uint64_t m_lines = 0;    ///< lines read
    std::uint64_t m_left_out = 0; ///< lines dropped by the rate limit
    std::map<std::string, std::uint64_t>
        m_lost_lines; ///< by VM, the highest count: lines give a running total
};

} // namespace borageford::diagnosis
