// Waves of offers.
#include "entry/offer_round.hpp"

#include "base/request_error.hpp"
#include "entry/request_run.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace borageford::entry {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

constexpr milliseconds wave_delay{150};
constexpr std::size_t first_wave = 2;
constexpr std::size_t prefix_block = 3; ///< the block whose hash names a prompt's home
constexpr milliseconds default_retry{1000};

/// Weighted rendezvous order by the prompt's prefix: the same prefix finds the same backend servers.
double rendezvous_height(std::uint64_t name_hash, std::uint64_t prefix) {
    std::uint64_t mixed = name_hash ^ (prefix * 0x9E3779B97F4A7C15ULL);
    mixed ^= mixed >> 31U;
    mixed *= 0xBF58476D1CE4E5B9ULL;
    mixed ^= mixed >> 29U;
    return -std::log((static_cast<double>(mixed >> 11U) + 1) / 9007199254740994.0);
}

/// Of two reasons the one that tells the caller more.
bool says_more(error_kind first, error_kind second) {
    const auto weight = [](error_kind kind) {
        switch (kind) {
        case error_kind::quarantined:
            return 4;
        case error_kind::deadline_unreachable:
            return 3;
        case error_kind::overloaded:
            return 2;
        case error_kind::no_backend_server:
            return 0;
        default:
            return 1;
        }
    };
    return weight(first) > weight(second);
}

} // namespace

offer_round::offer_round(entry_context& context, const call& request, std::shared_ptr<event_mailbox> events)
    : m_context(context), m_call(request), m_events(std::move(events)), m_table(context.servers.current()) {}

void offer_round::plan() {
    auto servers = server_directory::find(*m_table, m_call.target, m_call.is_service);
    std::erase_if(servers, [](const candidate& server) {
        return server.link->is_leaving() || server.link->is_unreachable();
    });
    const auto& hashes = m_call.prefix_hashes;
    const auto prefix = hashes.empty() ? m_call.id.low : hashes.at(std::min(prefix_block, hashes.size() - 1));
    std::ranges::sort(servers, {}, [prefix](const candidate& server) {
        return rendezvous_height(server.name_hash, prefix);
    });
    for (std::size_t begin = 0, size = first_wave; begin < servers.size(); begin += size, size *= 2) {
        const auto end = std::min(begin + size, servers.size());
        m_waves.emplace_back(servers.begin() + static_cast<std::ptrdiff_t>(begin),
                             servers.begin() + static_cast<std::ptrdiff_t>(end));
    }
}

asio::awaitable<place> offer_round::find_place() {
    plan();
    if (m_waves.empty()) {
        throw request_error(error_kind::no_backend_server, {}, m_context.settings.common.poll_period);
    }
    send_next_wave();
    for (;;) {
        const bool has_more = m_next_wave < m_waves.size();
        const auto until = has_more ? std::min(m_call.deadline, m_next_wave_at) : m_call.deadline;
        const auto event = co_await m_events->receive(until);
        if (event) {
            if (auto found = handle(*event)) {
                co_return *found;
            }
        } else if (steady_clock::now() >= m_call.deadline) {
            withdraw_all();
            throw request_error(error_kind::deadline_unreachable, {}, m_retry_after.value_or(default_retry));
        } else {
            send_next_wave();
        }
        while (m_open_offers.empty() && m_next_wave < m_waves.size()) {
            send_next_wave();
        }
        if (is_exhausted()) {
            refuse();
        }
    }
}

bool offer_round::is_exhausted() const noexcept {
    return m_open_offers.empty() && m_next_wave == m_waves.size();
}

void offer_round::refuse() const {
    throw request_error(m_refusal.value_or(error_kind::no_backend_server), {},
                        m_retry_after.value_or(default_retry));
}

void offer_round::send_next_wave() {
    for (const auto& server : m_waves.at(m_next_wave)) {
        send_offer(server);
    }
    ++m_next_wave;
    m_next_wave_at = steady_clock::now() + wave_delay;
}

void offer_round::send_offer(const candidate& server) {
    const auto dispatch = identifier::random();
    wire::offer_message offer;
    offer.dispatch = wire::to_wire(dispatch);
    offer.request = wire::to_wire(m_call.id);
    offer.workspace = m_call.workspace->name;
    offer.tier = static_cast<std::uint8_t>(m_call.tier->rank);
    offer.target = m_call.target;
    offer.is_service = m_call.is_service;
    offer.idempotent = m_call.is_idempotent;
    offer.prompt_tokens = m_call.prompt_tokens;
    offer.expected_output_tokens = m_call.expected_output_tokens;
    offer.prefix_hashes = m_call.prefix_hashes;
    offer.fingerprint = m_call.fingerprint;
    offer.resend_key = m_call.resend_key;
    const auto left = std::chrono::duration_cast<milliseconds>(m_call.deadline - steady_clock::now()).count();
    offer.deadline_ms = static_cast<std::uint32_t>(std::max<std::int64_t>(1, left));
    m_open_offers.emplace(dispatch, open_offer{server.link, server.name});
    m_context.metrics.offered();
    record(audit::event::offered, dispatch, server.name);
    server.link->send_for(dispatch, m_events, std::move(offer));
}

std::optional<place> offer_round::handle(const dispatch_event& event) {
    if (const auto* reply = std::get_if<wire::offer_reply_message>(&event)) {
        return take_reply(*reply);
    }
    if (const auto* grant = std::get_if<wire::grant_message>(&event)) {
        return take_grant(*grant);
    }
    if (const auto* refusal = std::get_if<wire::not_begun_message>(&event)) {
        take_refusal(wire::from_wire(refusal->dispatch), wire::error_kind_from_wire(refusal->error_kind),
                     milliseconds(refusal->retry_after_ms));
    } else if (const auto* lost = std::get_if<connection_lost>(&event)) {
        take_refusal(lost->dispatch, error_kind::no_backend_server, milliseconds(0));
    } else if (std::holds_alternative<caller_gone>(event)) {
        withdraw_all();
        throw caller_left();
    }
    return std::nullopt; // the rest belongs to a dispatch that is settled
}

std::optional<place> offer_round::take_reply(const wire::offer_reply_message& reply) {
    const auto dispatch = wire::from_wire(reply.dispatch);
    const auto found = m_open_offers.find(dispatch);
    if (found == m_open_offers.end() || reply.verdict == wire::offer_verdict::queued) {
        return std::nullopt;
    }
    if (reply.verdict == wire::offer_verdict::refused) {
        take_refusal(dispatch, wire::error_kind_from_wire(reply.error_kind),
                     milliseconds(reply.retry_after_ms));
        return std::nullopt;
    }
    attachable_place where{found->second.link, found->second.backend_server,
                           wire::from_wire(reply.running_dispatch)};
    if (reply.verdict == wire::offer_verdict::known_elsewhere) {
        const auto other = m_table->by_server.find(reply.backend_server);
        if (other == m_table->by_server.end()) {
            return std::nullopt; // the server it ran at is gone; this offer stands as it is
        }
        where.link = other->second;
        where.backend_server = reply.backend_server;
    }
    return where;
}

std::optional<place> offer_round::take_grant(const wire::grant_message& grant) {
    const auto dispatch = wire::from_wire(grant.dispatch);
    const auto found = m_open_offers.find(dispatch);
    if (found == m_open_offers.end()) {
        return std::nullopt;
    }
    granted_place where{found->second.link, found->second.backend_server, dispatch,
                        found->second.link->incarnation(), grant.revision};
    m_open_offers.erase(found);
    return where;
}

void offer_round::take_refusal(const dispatch_id& dispatch, error_kind kind, milliseconds retry_after) {
    const auto found = m_open_offers.find(dispatch);
    if (found == m_open_offers.end()) {
        return;
    }
    record(audit::event::refused, dispatch, found->second.backend_server, kind);
    found->second.link->forget(dispatch);
    m_open_offers.erase(found);
    if (!m_refusal || says_more(kind, *m_refusal)) {
        m_refusal = kind;
    }
    if (retry_after.count() > 0) {
        m_retry_after = std::min(retry_after, m_retry_after.value_or(retry_after));
    }
}

void offer_round::withdraw_all() {
    for (const auto& [dispatch, offer] : std::exchange(m_open_offers, {})) {
        wire::withdraw_message withdrawal;
        withdrawal.dispatch = wire::to_wire(dispatch);
        offer.link->forget(dispatch);
        offer.link->send_if_connected(withdrawal);
        m_context.metrics.withdrawn();
    }
}

void offer_round::record(audit::event what, const dispatch_id& dispatch, const std::string& backend_server,
                         std::optional<error_kind> reason) {
    audit::record entry;
    entry.what = what;
    entry.request = m_call.id;
    entry.dispatch = dispatch;
    entry.workspace = m_call.workspace->name;
    entry.tier = m_call.tier->rank;
    entry.target = m_call.target;
    entry.backend_server = backend_server;
    entry.revision = m_call.configuration->revision;
    entry.reason = reason;
    m_context.audit.record(std::move(entry));
}

} // namespace borageford::entry
