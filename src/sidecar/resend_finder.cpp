// Implementation of resend_finder, which finds the earlier dispatch of a request that is sent again.
#include "sidecar/resend_finder.hpp"

namespace borageford::sidecar {

std::optional<wire::offer_reply_message> resend_finder::find(const wire::offer_message& offer,
                                                             time_point now) const {
    wire::offer_reply_message answer;
    if (const auto running = m_store.find_resend(offer.resend_key, offer.fingerprint)) {
        answer.verdict = wire::offer_verdict::attachable;
        answer.running_dispatch = wire::to_wire(running->request.dispatch);
        return answer;
    }
    const auto elsewhere = m_store.find_elsewhere(offer.resend_key, offer.fingerprint, now);
    if (!elsewhere) {
        return std::nullopt;
    }
    answer.verdict = wire::offer_verdict::known_elsewhere;
    answer.running_dispatch = wire::to_wire(elsewhere->dispatch);
    answer.backend_server = elsewhere->backend_server;
    return answer;
}

void resend_finder::remember_lookup(connection_id connection, const wire::offer_message& offer) {
    if (m_lookups.size() < lookup_limit) {
        m_lookups.emplace(wire::from_wire(offer.dispatch),
                          lookup{connection, offer.resend_key, offer.fingerprint});
    }
}

bool resend_finder::end_lookup(const wire::withdraw_message& request, time_point now) {
    const auto entry = m_lookups.find(wire::from_wire(request.dispatch));
    if (entry == m_lookups.end()) {
        return false;
    }
    record_start(request, entry->second.resend_key, entry->second.fingerprint, now);
    m_lookups.erase(entry);
    return true;
}

void resend_finder::record_start(const wire::withdraw_message& request, std::uint64_t resend_key,
                                 std::uint64_t fingerprint, time_point now) {
    if (!request.started_at.empty()) {
        m_store.remember_elsewhere(
            resend_key, {wire::from_wire(request.running_dispatch), request.started_at, fingerprint}, now);
    }
}

void resend_finder::drop_connection(connection_id connection) {
    std::erase_if(m_lookups,
                  [connection](const auto& entry) { return entry.second.connection == connection; });
}

} // namespace borageford::sidecar
