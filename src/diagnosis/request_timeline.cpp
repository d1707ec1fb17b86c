// Joins log lines by request id and ticket, and prints them in the order of their times.
#include "diagnosis/request_timeline.hpp"

#include "events/event_kind.hpp"

#include <algorithm>
#include <iomanip>
#include <ostream>
#include <utility>

namespace borageford::diagnosis {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/// State changes that were logged within this time after a request ended are printed too. They often explain
/// the end: for example, a process notices only then that a server was removed or that the store is lost.
constexpr std::chrono::seconds time_after_end{1};

bool is_about_requests(const log_record& record) {
    return record.event.starts_with("request_") || record.event == "slot_refused";
}

bool is_end(const log_record& record) {
    return record.event == "request_answered" || record.event == "request_refused" ||
           record.event == "request_cut" || record.event == "request_abandoned";
}

/// The meaning of an event; empty for an unknown event.
std::string_view meaning_of(std::string_view event) {
    const auto all = events::event_descriptions();
    const auto found = std::ranges::find(all, event, &events::event_description::name);
    return found != all.end() ? found->meaning : std::string_view("");
}

/// Formats a time span in seconds, with three decimals.
std::string seconds_text(milliseconds span) {
    constexpr auto thousand = 1000;
    const auto count = std::abs(span.count());
    auto fraction = std::to_string(count % thousand);
    fraction.insert(0, 3 - fraction.size(), '0');
    return (span.count() < 0 ? "-" : "") + std::to_string(count / thousand) + "." + fraction;
}

milliseconds between(log_time from, log_time to) {
    return duration_cast<milliseconds>(to - from);
}

/// All fields as "name=value", except the request's id, which is the same in all lines of the timeline.
std::string fields_text(const log_record& record) {
    std::string result;
    for (const auto& field : record.fields) {
        const std::string name(field.key());
        if (name == "request") {
            continue;
        }
        const auto text = record.text(name);
        result += (result.empty() ? "" : " ") + name + "=" + (text.empty() ? "-" : text);
    }
    return result;
}

/// What part of a process's assumed state a log line sets. The latest line about a subject tells its state.
struct state_change {
    std::string subject;    ///< for example "backend engine-4"; a later line replaces an earlier one
    bool is_normal = false; ///< a normal state, which isn't printed
};

/// The subject that a line is about; the subject is empty for lines that set no state.
state_change state_change_of(const log_record& record) {
    const auto& event = record.event;
    if (event.starts_with("configuration_in")) {
        return {"configuration", false};
    }
    if (event == "slot_source_changed") {
        return {"slots", false};
    }
    if (event.starts_with("store_")) {
        return {"store " + record.text("table"), event == "store_regained"};
    }
    if (event.starts_with("backend_")) {
        const bool is_normal = event == "backend_ready" || event == "backend_recovered" ||
                               event == "backend_sound" || event == "backend_gone";
        return {"backend " + record.text("backend"), is_normal};
    }
    if (event == "stop_requested" || event == "started" || event == "stopped") {
        return {"process", event == "started"};
    }
    return {"", true};
}

std::string status_and_error(const log_record& record) {
    return record.text("status") + " " + record.text("error");
}

std::string attempts_text(const log_record& record) {
    const auto attempts = record.number("tries");
    if (attempts == 0) {
        return "it was never sent to a backend server";
    }
    return "it had been sent to " + std::to_string(attempts) +
           (attempts == 1 ? " backend server" : " backend servers");
}

/// One sentence about how the request ended.
std::string end_text(const log_record& end) {
    if (end.event == "request_answered") {
        return "answered with " + end.text("status") + " by " + end.text("backend") + " after " +
               end.text("total_ms") + " ms, first event after " + end.text("first_ms") + " ms";
    }
    if (end.event == "request_refused") {
        const auto retry = end.number("retry_after_ms");
        return "refused with " + status_and_error(end) + " (" + end.text("reason") + ") after " +
               end.text("held_ms") + " ms; " + attempts_text(end) +
               (retry > 0 ? "; told to come back after " + std::to_string(retry) + " ms" : "");
    }
    if (end.event == "request_cut") {
        return "its stream was ended after " + end.text("events") + " events (" + end.text("reason") + "), " +
               end.text("total_ms") + " ms after it came";
    }
    return "its caller left after " + end.text("total_ms") + " ms, while it was " + end.text("stage");
}

} // namespace

void request_timeline::add(log_record record) {
    ++m_lines;
    m_left_out += record.left_out;
    if (record.lost_lines > 0) {
        m_lost_lines[record.vm] = std::max(m_lost_lines[record.vm], record.lost_lines);
    }
    if (!is_about_requests(record)) {
        const auto time = record.time;
        m_state_changes[record.vm].emplace(time, std::move(record));
    } else if (record.event == "slot_refused") {
        auto ticket = record.text("ticket");
        m_slot_refusals.insert_or_assign(std::move(ticket), std::move(record));
    } else if (record.text("request") == m_id) {
        m_request_lines.push_back(std::move(record));
    }
}

request_timeline::timeline request_timeline::lines_about_request() const {
    timeline result;
    std::set<std::string> tickets;
    for (const auto& record : m_request_lines) {
        result.emplace(record.time, record);
        tickets.insert(record.text("ticket"));
    }
    for (const auto& ticket : tickets) {
        const auto found = m_slot_refusals.find(ticket);
        if (found != m_slot_refusals.end()) {
            result.emplace(found->second.time, found->second);
        }
    }
    return result;
}

std::set<std::string> request_timeline::vms_of(const timeline& lines) const {
    std::set<std::string> result;
    for (const auto& [time, record] : lines) {
        result.insert(record.vm);
    }
    return result;
}

void request_timeline::print_state(std::ostream& out, const std::string& vm, log_time at) const {
    const auto found = m_state_changes.find(vm);
    if (found == m_state_changes.end()) {
        return;
    }
    std::map<std::string, const log_record*> newest;
    for (const auto& [time, record] : found->second) {
        if (time > at) {
            break;
        }
        newest[state_change_of(record).subject] = &record;
    }
    for (const auto& [subject, record] : newest) {
        if (!state_change_of(*record).is_normal) {
            out << "  " << vm << ": " << record->event << ' ' << fields_text(*record) << " (since "
                << seconds_text(between(record->time, at)) << " s)\n";
        }
    }
}

void request_timeline::print_lines(std::ostream& out, const timeline& lines,
                                   const std::set<std::string>& vms) const {
    const auto first = lines.begin()->first;
    const auto last = std::prev(lines.end())->first;
    auto all = lines;
    for (const auto& vm : vms) {
        const auto found = m_state_changes.find(vm);
        if (found != m_state_changes.end()) {
            all.insert(found->second.lower_bound(first), found->second.upper_bound(last + time_after_end));
        }
    }
    for (const auto& [time, record] : all) {
        out << std::setw(9) << seconds_text(between(first, time)) << " s  " << record.vm << "  "
            << record.event << "  " << fields_text(record) << "\n             " << meaning_of(record.event)
            << '\n';
    }
}

void request_timeline::print_missing_lines(std::ostream& out) const {
    std::uint64_t lost = 0;
    for (const auto& [vm, count] : m_lost_lines) {
        lost += count;
    }
    out << m_lines << " lines were read; " << m_left_out << " more were left out by their kinds' bounds, "
        << lost << " were lost because nobody read them.\n";
}

std::string request_timeline::outcome() const {
    const auto lines = lines_about_request();
    const auto end = std::ranges::find_if(lines.rbegin(), lines.rend(),
                                          [](const auto& line) { return is_end(line.second); });
    if (end == lines.rend()) {
        return "its end isn't in these lines";
    }
    return end_text(end->second);
}

void request_timeline::print(std::ostream& out) const {
    if (!has_lines()) {
        out << "No line tells of request " << m_id << ". ";
        print_missing_lines(out);
        return;
    }
    const auto lines = lines_about_request();
    const auto vms = vms_of(lines);
    out << "Request " << m_id << ": " << outcome() << ".\n\nKnown when it came:\n";
    for (const auto& vm : vms) {
        print_state(out, vm, lines.begin()->first);
    }
    out << "\nWhat happened:\n";
    print_lines(out, lines, vms);
    out << '\n';
    print_missing_lines(out);
}

} // namespace borageford::diagnosis
