// Two questions over HTTP, and their answers.
#include "gateway/peer_exchange.hpp"

#include "events/event_log.hpp"
#include "http/client.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

#include <string>
#include <utility>

namespace borageford::gateway {

namespace asio = boost::asio;
namespace json = boost::json;
using std::chrono::milliseconds;

namespace {

constexpr std::string_view configuration_target = "/configuration";
constexpr std::string_view backends_target = "/backends";
/// The store tells all gateways of a change within a few milliseconds of each other when it is well.
constexpr milliseconds patience{150};
constexpr milliseconds exchange_limit{500};
constexpr unsigned status_ok = 200;
constexpr unsigned status_not_found = 404;

http::exchange_limits limits() {
    http::exchange_limits result;
    result.connect = exchange_limit;
    result.head = exchange_limit;
    result.idle = exchange_limit;
    return result;
}

http::request ask(std::string_view target) {
    return {"GET", std::string(target), {}, ""};
}

std::string encode(const backend_roster& backends) {
    json::object registrations;
    for (const auto& [id, entry] : backends.all()) {
        registrations.emplace(id, json::object{{"value", entry.value}, {"version", entry.version}});
    }
    return json::serialize(
        json::object{{"version", backends.version()}, {"registrations", std::move(registrations)}});
}

backend_roster::registrations decode(const json::object& from) {
    backend_roster::registrations result;
    for (const auto& [id, entry] : from) {
        result[id] = {json::value_to<std::string>(entry.at("value")),
                      entry.at("version").to_number<std::uint64_t>()};
    }
    return result;
}

void report_question(const asio::ip::tcp::endpoint& peer, std::string_view what, std::uint64_t held,
                     std::uint64_t offered) {
    events::write(events::event_kind::peer_asked,
                  {{"peer", http::to_string(peer)}, {"what", what}, {"held", held}, {"offered", offered}});
}

void report_failure(const asio::ip::tcp::endpoint& peer, std::string_view what, std::string_view reason) {
    events::write(events::event_kind::peer_failed,
                  {{"peer", http::to_string(peer)}, {"what", what}, {"reason", reason}});
}

} // namespace

bool peer_exchange::lag::is_due(std::uint64_t held, std::uint64_t offered, clock::time_point now) {
    if (offered <= held) {
        return false;
    }
    if (since == clock::time_point::max()) {
        since = now;
    }
    if (is_asking || now - since < patience) {
        return false;
    }
    since = clock::time_point::max();
    is_asking = true;
    return true;
}

peer_exchange::peer_exchange(asio::any_io_executor executor, const asio::ip::tcp::endpoint& local,
                             configuration_keeper& configuration, backend_roster& backends)
    : m_executor(std::move(executor)),
      m_local(local),
      m_configuration(configuration),
      m_backends(backends),
      m_server(
          m_executor, {},
          [this](const http::request& received, http::response_writer& writer) -> asio::awaitable<void> {
              const auto whole = answer(received); // outlives the write
              co_await writer.write(whole);
          },
          [](error_kind kind, std::string_view detail) {
              return http::make_response(answer_for(kind).http_status, "text/plain", std::string(detail));
          }) {}

void peer_exchange::start() {
    m_server.listen(m_local);
}

http::response peer_exchange::answer(const http::request& received) const {
    if (received.target == configuration_target && m_configuration.version() > 0) {
        return http::make_response(status_ok, "application/json", m_configuration.document());
    }
    if (received.target == backends_target) {
        return http::make_response(status_ok, "application/json", encode(m_backends));
    }
    return http::make_response(status_not_found, "text/plain", "");
}

void peer_exchange::hear(const asio::ip::address& peer, std::uint64_t configuration, std::uint64_t backends) {
    const auto now = clock::now();
    const asio::ip::tcp::endpoint address(peer, m_local.port());
    if (m_configuration_lag.is_due(m_configuration.version(), configuration, now)) {
        report_question(address, "configuration", m_configuration.version(), configuration);
        asio::co_spawn(m_executor, ask_for_configuration(address), asio::detached);
    }
    if (m_backend_lag.is_due(m_backends.version(), backends, now)) {
        report_question(address, "backends", m_backends.version(), backends);
        asio::co_spawn(m_executor, ask_for_backends(address), asio::detached);
    }
}

asio::awaitable<void> peer_exchange::ask_for_configuration(asio::ip::tcp::endpoint peer) {
    try {
        const auto call = ask(configuration_target);
        const auto received = co_await http::fetch(m_executor, peer, call, limits());
        if (received.head.status == status_ok) {
            m_configuration.take(received.body, "peer");
        }
    } catch (const std::exception& error) {
        report_failure(peer, "configuration", error.what());
    }
    m_configuration_lag.is_asking = false;
}

asio::awaitable<void> peer_exchange::ask_for_backends(asio::ip::tcp::endpoint peer) {
    try {
        const auto call = ask(backends_target);
        const auto received = co_await http::fetch(m_executor, peer, call, limits());
        if (received.head.status == status_ok) {
            const auto body = json::parse(received.body);
            m_backends.take_newer(decode(body.at("registrations").as_object()),
                                  body.at("version").to_number<std::uint64_t>());
        }
    } catch (const std::exception& error) {
        report_failure(peer, "backends", error.what());
    }
    m_backend_lag.is_asking = false;
}

} // namespace borageford::gateway
