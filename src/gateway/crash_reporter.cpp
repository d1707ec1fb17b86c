// Implementation of crash_reporter.
#include "gateway/crash_reporter.hpp"

#include "coordination/broker_events.hpp"
#include "events/event_log.hpp"

#include <chrono>
#include <cstdint>
#include <string>

namespace borageford::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

std::string_view to_string(policy::suspect_kind kind) noexcept {
    return kind == policy::suspect_kind::request ? "request" : "prompt_part";
}

} // namespace

void crash_reporter::report(const policy::crash_mark& mark, policy::crash_ledger::change change,
                            const policy::crash_ledger& ledger) {
    m_registry
        .get_counter("borageford_gateway_crash_marks_total",
                     "Crashes of servers that a request, or a part of its prompt, may have caused.",
                     {{"suspect", std::string(to_string(mark.suspect.kind))}})
        .add();
    if (change != policy::crash_ledger::change::quarantined) {
        return;
    }
    const auto now = steady_clock::now();
    const auto server = m_backends.find(mark.server);
    const auto left = ledger.quarantine_left(mark.suspect, now).value_or(policy::duration{});
    events::write(events::event_kind::suspect_quarantined,
                  {{"suspect", to_string(mark.suspect.kind)},
                   {"key", mark.suspect.key},
                   {"crashes", std::uint64_t(ledger.marks(mark.suspect, now))},
                   {"backend", server != nullptr ? server->record().id : std::string("unknown")},
                   {"heard_by", coordination::describe_member(mark.heard_by)},
                   {"for_ms", std::int64_t(std::chrono::duration_cast<milliseconds>(left).count())}});
}

void crash_reporter::report(const policy::crash_clearance& clearance) {
    events::write(events::event_kind::suspect_cleared,
                  {{"suspect", to_string(clearance.suspect.kind)},
                   {"key", clearance.suspect.key},
                   {"heard_by", coordination::describe_member(clearance.heard_by)}});
}

void crash_reporter::add_gauges(const policy::crash_ledger& ledger) {
    m_registry.add_gauge(
        "borageford_gateway_quarantined_suspects", "Requests and parts of prompts that are quarantined.", {},
        [&ledger] { return static_cast<double>(ledger.count_quarantined(steady_clock::now())); });
    m_registry.add_gauge("borageford_gateway_crash_marks", "Marks that are known.", {},
                         [&ledger] { return static_cast<double>(ledger.size()); });
    m_registry.add_gauge("borageford_gateway_dropped_crash_marks",
                         "Marks that were forgotten before their time because there were too many.", {},
                         [&ledger] { return static_cast<double>(ledger.dropped()); });
}

} // namespace borageford::gateway
