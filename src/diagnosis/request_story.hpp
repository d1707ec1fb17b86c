// What a log tells of one request: its own lines, the coordinator's about it, and what the processes
// concerned believed at the time.
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

/// Takes the lines of any number of processes in any order, then tells.
class request_story {
public:
    /// `id` is the caller's id of the request, as its lines show it.
    explicit request_story(std::string id) : m_id(std::move(id)) {}

    void take(log_record record);

    [[nodiscard]] bool has_lines() const noexcept { return !m_own.empty(); }

    /// Writes the whole story as text; without any line of the request it says what may be missing.
    void tell(std::ostream& out) const;

    /// How the request ended, in one sentence.
    [[nodiscard]] std::string outcome() const;

private:
    /// Lines in the order of their times, whatever order they were taken in.
    using timeline = std::multimap<log_time, log_record>;

    [[nodiscard]] timeline lines_about_request() const;
    [[nodiscard]] std::set<std::string> vms_of(const timeline& lines) const;
    void tell_beliefs(std::ostream& out, const std::string& vm, log_time at) const;
    void tell_lines(std::ostream& out, const timeline& lines, const std::set<std::string>& vms) const;
    void tell_gaps(std::ostream& out) const;

    std::string m_id;
    std::vector<log_record> m_own;
    /// Coordinators' refusals by ticket; which of them concern the request is known only at the end.
    std::unordered_map<std::string, log_record> m_slot_refusals;
    /// Lines that tell of no request, by VM.
    std::map<std::string, timeline> m_beliefs;
    std::uint64_t m_lines = 0;
    std::uint64_t m_left_out = 0;
    std::map<std::string, std::uint64_t> m_lost_lines; ///< by VM; each line tells the sum so far
};

} // namespace borageford::diagnosis
