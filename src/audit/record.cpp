// Names of audit events, as they are written in batches, and sorting of records.
#include "audit/record.hpp"

#include <algorithm>
#include <array>
#include <cstddef>
#include <map>
#include <utility>

namespace borageford::audit {
namespace {

constexpr std::array<std::string_view, 16> names{
    "received", "offered",  "queued", "refused",  "pushed_out", "granted",   "withdrawn", "lapsed",
    "started",  "attached", "ended",  "answered", "failed",     "cancelled", "claimed",   "gap"};

static_assert(names.size() == static_cast<std::size_t>(event::gap) + 1, "one name for each event");

} // namespace

std::string_view to_string(event what) noexcept {
    const auto index = static_cast<std::size_t>(what);
    return index < names.size() ? names[index] : std::string_view("unknown");
}

std::optional<event> find_event(std::string_view name) noexcept {
    const auto* const found = std::ranges::find(names, name);
    if (found == names.end()) {
        return std::nullopt;
    }
    return static_cast<event>(found - names.begin());
}

void sort_by_time(std::vector<record>& records) {
    std::multimap<std::chrono::system_clock::time_point, record> ordered;
    for (auto& audit_record : records) {
        const auto time = audit_record.time;
        ordered.emplace(time, std::move(audit_record));
    }
    records.clear();
    for (auto& [time, audit_record] : ordered) {
        records.push_back(std::move(audit_record));
    }
}

} // namespace borageford::audit
