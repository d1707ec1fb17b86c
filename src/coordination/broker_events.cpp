// Writes the events of slot_broker to the event log, with one function for each kind of event.
#include "coordination/broker_events.hpp"

#include "events/event_log.hpp"

#include <boost/asio/ip/address_v4.hpp>

#include <chrono>
#include <cstdint>

namespace borageford::coordination {

using std::chrono::milliseconds;

std::string describe_member(policy::member_key member) {
    return boost::asio::ip::address_v4(static_cast<std::uint32_t>(member)).to_string();
}

void log_refusals(policy::member_key member, std::span<const policy::slot_refusal> refusals,
                  std::size_t waiting, std::size_t running) {
    for (const auto& refusal : refusals) {
        const auto wait = std::chrono::duration_cast<milliseconds>(refusal.retry_after);
        events::write(events::event_kind::slot_refused, {{"ticket", refusal.ticket},
                                                         {"member", describe_member(member)},
                                                         {"reason", policy::to_string(refusal.reason)},
                                                         {"needed", refusal.needed},
                                                         {"available", refusal.available},
                                                         {"waiting", std::uint64_t(waiting)},
                                                         {"running", std::uint64_t(running)},
                                                         {"retry_after_ms", std::int64_t(wait.count())}});
    }
}

void log_source_change(const source_change& change) {
    events::write(events::event_kind::slot_source_changed,
                  {{"from", change.from},
                   {"to", change.to},
                   {"coordinator", describe_member(change.coordinator)},
                   {"waiting", std::uint64_t(change.waiting)},
                   {"running", std::uint64_t(change.running)}});
}

void log_attached_member(policy::member_key member, std::size_t members) {
    events::write(events::event_kind::member_attached,
                  {{"member", describe_member(member)}, {"members", std::uint64_t(members)}});
}

void log_lost_member(policy::member_key member, policy::duration silent) {
    const auto ms = std::chrono::duration_cast<milliseconds>(silent);
    events::write(events::event_kind::member_lost,
                  {{"member", describe_member(member)}, {"silent_ms", std::int64_t(ms.count())}});
}

} // namespace borageford::coordination
