// Implementation of peer_exchange: two HTTP GET requests, one for the configuration and one for changed
// registrations, and their answers.
#include "gateway/peer_exchange.hpp"

#include "base/parse_number.hpp"
#include "events/event_log.hpp"
#include "http/client.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace borageford::gateway {

namespace asio = boost::asio;
namespace json = boost::json;
using std::chrono::milliseconds;

namespace {

constexpr std::string_view configuration_target = "/configuration";
constexpr std::string_view backends_path = "/backends";
/// How long this gateway waits for the store before it asks a peer. A store that works delivers a change
/// soon, together with other changes.
constexpr milliseconds delay_with_store{700};
constexpr milliseconds delay_without_store{100};
constexpr milliseconds exchange_limit{500};
/// Longest time for the body of a peer's answer, and its largest size.
constexpr milliseconds body_limit{5000};
constexpr std::size_t max_body_bytes = 32U * 1024 * 1024;
/// A peer that hasn't reported for longer than this may be gone.
constexpr milliseconds report_lifetime{1000};
constexpr unsigned status_ok = 200;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_unavailable = 503;
/// A small part of the memory of the smallest gateways, 88 MB. A complete update of 1,300 servers takes 0.4
/// MB.
constexpr std::size_t max_bytes_sending = 16U * 1024 * 1024;
/// Answers up to this size are always sent: a configuration or a few changes must spread even while many
/// peers request complete updates.
constexpr std::size_t max_uncounted_bytes = 64U * 1024;

http::exchange_limits limits() {
    auto result = http::exchange_limits::for_step(exchange_limit);
    result.body = body_limit;
    result.body_limit = max_body_bytes;
    return result;
}

http::request make_get_request(std::string_view target) {
    return {"GET", std::string(target), {}, ""};
}

json::object encode(const backend_roster::update& from) {
    json::object registrations;
    for (const auto& [id, entry] : from.present) {
        registrations.emplace(id, json::object{{"value", entry.value},
                                               {"era", entry.position.era},
                                               {"version", entry.position.version}});
    }
    return {{"era", from.position.era},
            {"version", from.position.version},
            {"is_whole", from.is_complete},
            {"removals_era", from.removals_begin.era},
            {"removals_version", from.removals_begin.version},
            {"registrations", std::move(registrations)},
            {"gone", json::value_from(from.removed)},
            {"missed", json::value_from(from.retained)}};
}

store::position decode_position(const json::object& from) {
    return {from.at("era").to_number<std::uint64_t>(), from.at("version").to_number<std::uint64_t>()};
}

backend_roster::update decode(const json::object& from) {
    backend_roster::update result;
    result.position = decode_position(from);
    result.is_complete = from.at("is_whole").as_bool();
    result.removed = json::value_to<std::vector<std::string>>(from.at("gone"));
    if (from.contains("removals_version")) {
        result.removals_begin = {from.at("removals_era").to_number<std::uint64_t>(),
                                 from.at("removals_version").to_number<std::uint64_t>()};
    }
    if (const auto* retained = from.if_contains("missed")) {
        result.retained = json::value_to<std::vector<std::string>>(*retained);
    }
    for (const auto& [id, entry] : from.at("registrations").as_object()) {
        result.present[id] = {json::value_to<std::string>(entry.at("value")),
                              decode_position(entry.as_object())};
    }
    return result;
}

std::string backends_target(store::position held) {
    return std::string(backends_path) + "?era=" + std::to_string(held.era) +
           "&after=" + std::to_string(held.version);
}

std::optional<std::uint64_t> query_number(std::string_view target, std::string_view name) {
    const auto text = http::query_value(target, name);
    return text.has_value() ? parse_number<std::uint64_t>(*text) : std::nullopt;
}

/// Parses the position that the requester holds; nothing if the target isn't a request for registrations.
std::optional<store::position> held_position(std::string_view target) {
    if (http::path_of(target) != backends_path) {
        return std::nullopt;
    }
    const auto era = query_number(target, "era");
    const auto version = query_number(target, "after");
    return era.has_value() && version.has_value() ? std::optional(store::position{*era, *version})
                                                  : std::nullopt;
}

void log_fetch(const asio::ip::tcp::endpoint& peer, std::string_view what, store::position held,
               store::position offered) {
    events::write(events::event_kind::peer_asked, {{"peer", http::to_string(peer)},
                                                   {"what", what},
                                                   {"held_era", held.era},
                                                   {"held", held.version},
                                                   {"offered_era", offered.era},
                                                   {"offered", offered.version}});
}

void log_failure(const asio::ip::tcp::endpoint& peer, std::string_view what, std::string_view reason) {
    events::write(events::event_kind::peer_failed,
                  {{"peer", http::to_string(peer)}, {"what", what}, {"reason", reason}});
}

} // namespace

bool peer_exchange::lag::is_due(milliseconds delay, clock::time_point now) {
    if (since == clock::time_point::max()) {
        since = now;
    }
    if (is_fetching || now - since < delay) {
        return false;
    }
    since = clock::time_point::max();
    is_fetching = true;
    return true;
}

peer_exchange::peer_exchange(asio::any_io_executor executor, const asio::ip::tcp::endpoint& local,
                             const http::server_limits& server_limits, configuration_manager& configuration,
                             backend_roster& backends, std::function<bool()> is_store_available,
                             std::function<bool()> relies_on_peers)
    : m_executor(std::move(executor)),
      m_local(local),
      m_configuration(configuration),
      m_backends(backends),
      m_is_store_available(std::move(is_store_available)),
      m_relies_on_peers(std::move(relies_on_peers)),
      m_sending(max_bytes_sending, max_uncounted_bytes),
      m_server(
          m_executor, server_limits,
          [this](const http::request& received, http::response_writer& writer) -> asio::awaitable<void> {
              auto response = answer(received); // must outlive the write
              const auto sending = m_sending.try_acquire(response.body.size());
              if (!sending.has_value()) {
                  response = http::make_response(status_unavailable, "text/plain", "");
              }
              co_await writer.write(response);
          },
          [](error_kind kind, std::string_view detail) {
              return http::make_response(answer_for(kind).http_status, "text/plain", std::string(detail));
          }) {}

void peer_exchange::start() {
    m_server.listen(m_local);
}

std::string peer_exchange::encode_changes_after(store::position held) {
    const bool needs_all = held.version == 0 || held.era != m_backends.position().era;
    if (needs_all && !m_complete_update.empty() && m_complete_update_position == m_backends.position()) {
        return m_complete_update;
    }
    const auto update = m_backends.changes_after(held);
    auto text = json::serialize(encode(update));
    if (update.is_complete) {
        m_complete_update = text;
        m_complete_update_position = update.position;
    }
    return text;
}

http::response peer_exchange::answer(const http::request& received) {
    if (received.target == configuration_target && m_configuration.version() > 0) {
        return http::make_response(status_ok, "application/json", m_configuration.document());
    }
    if (const auto held = held_position(received.target)) {
        return http::make_response(status_ok, "application/json", encode_changes_after(*held));
    }
    return http::make_response(status_not_found, "text/plain", "");
}

/// Returns how long a newer configuration must have been known before a peer is asked for it. A document may
/// be large, and the store has more bandwidth than the few gateways that report to all others.
milliseconds peer_exchange::configuration_delay() const {
    return m_is_store_available() || m_relies_on_peers() ? delay_with_store : delay_without_store;
}

/// Returns the same for registrations, of which only the changes are sent.
milliseconds peer_exchange::backend_delay() const {
    if (m_fetches_backends_at_once || m_relies_on_peers()) {
        return milliseconds(0);
    }
    return m_is_store_available() ? delay_with_store : delay_without_store;
}

bool peer_exchange::has_peer_with_newer_configuration() const {
    return std::ranges::any_of(m_reports, [held = m_configuration.version()](const auto& entry) {
        return entry.second.configuration > held;
    });
}

/// Gateways are often replaced by others with new addresses, so peers that no longer report are dropped.
void peer_exchange::record_report(const asio::ip::address& peer, const peer_report& report) {
    m_reports[peer] = report;
    if (report.at >= m_next_cleanup) {
        std::erase_if(m_reports,
                      [&](const auto& entry) { return report.at - entry.second.at > report_lifetime; });
        m_next_cleanup = report.at + report_lifetime;
    }
}

void peer_exchange::record_versions(const asio::ip::address& peer, std::uint64_t configuration,
                                    store::position backends) {
    const auto now = clock::now();
    record_report(peer, {configuration, backends, now});
    if (configuration > m_configuration.version() && m_configuration_lag.is_due(configuration_delay(), now)) {
        const auto address = choose_peer(&peer_report::configuration, m_configuration.version(), now);
        // Documents have versions of their own, which a restore of the store doesn't reset: the era is 0.
        log_fetch(address, "configuration", {0, m_configuration.version()}, {0, configuration});
        asio::co_spawn(m_executor, fetch_configuration(address), asio::detached);
    }
    if (backends > m_backends.position() && m_backend_lag.is_due(backend_delay(), now)) {
        m_fetches_backends_at_once = false;
        const auto address = choose_peer(&peer_report::backends, m_backends.position(), now);
        log_fetch(address, "backends", m_backends.position(), backends);
        asio::co_spawn(m_executor, fetch_backends(address), asio::detached);
    }
}

/// Draws any peer that is ahead. All gateways learn of a change from the coordinator, which would otherwise
/// have to answer each of them.
template <typename Version>
asio::ip::tcp::endpoint peer_exchange::choose_peer(Version peer_report::* version, const Version& held,
                                                   clock::time_point now) {
    std::vector<asio::ip::address> ahead;
    for (const auto& [peer, report] : m_reports) {
        if (report.*version > held && now - report.at <= report_lifetime) {
            ahead.push_back(peer);
        }
    }
    std::uniform_int_distribution<std::size_t> choice(0, ahead.size() - 1);
    return {ahead.at(choice(m_random)), m_local.port()};
}

asio::awaitable<void> peer_exchange::fetch_configuration(asio::ip::tcp::endpoint peer) {
    try {
        const auto call = make_get_request(configuration_target);
        const auto received = co_await http::fetch(m_executor, peer, call, limits());
        if (received.head.status == status_ok) {
            m_configuration.apply(received.body, "peer");
        }
    } catch (const std::exception& error) {
        log_failure(peer, "configuration", error.what());
    }
    m_configuration_lag.is_fetching = false;
}

asio::awaitable<void> peer_exchange::fetch_backends(asio::ip::tcp::endpoint peer) {
    try {
        const auto call = make_get_request(backends_target(m_backends.position()));
        const auto received = co_await http::fetch(m_executor, peer, call, limits());
        if (received.head.status == status_ok) {
            // Another program may have written a row whose name isn't UTF-8.
            json::parse_options options;
            options.allow_invalid_utf8 = true;
            m_backends.apply_update(decode(json::parse(received.body, {}, options).as_object()));
        }
    } catch (const std::exception& error) {
        log_failure(peer, "backends", error.what());
    }
    m_backend_lag.is_fetching = false;
}

} // namespace borageford::gateway
