// Tests of slot_broker: the broker of one gateway, with another member that the test simulates.
#include "coordination/slot_broker.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <catch2/catch.hpp>

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

using namespace borageford;
using namespace borageford::coordination;
using namespace borageford::policy;
using namespace std::chrono_literals;

namespace {

namespace asio = boost::asio;
using asio::ip::udp;

constexpr workspace_key workspace = 9;
constexpr service_key engines = 7;

/// A simulated member with a greater processor share. It reports whether it coordinates, acknowledges all
/// batches and grants no slots.
class simulated_member {
public:
    explicit simulated_member(asio::io_context& context)
        : m_socket(context, udp::endpoint(asio::ip::make_address("127.0.0.2"), 0)) {
        receive();
    }

    [[nodiscard]] unsigned short port() const { return m_socket.local_endpoint().port(); }
    void coordinate(bool is_acting) { m_is_acting = is_acting; }
    [[nodiscard]] bool has_received(slot_ticket ticket) const { return m_received.contains(ticket); }
    [[nodiscard]] const std::vector<server_report>& reports() const { return m_reports; }
    /// The rate limits that it received last, by server.
    [[nodiscard]] const std::map<server_key, rate_limit_notice>& rate_limits() const { return m_rate_limits; }
    /// Sends these notices with every reply.
    void announce(std::vector<rate_limit_notice> notices) { m_announced = std::move(notices); }
    /// Drops every second datagram in both directions.
    void lose_datagrams() { m_loses_datagrams = true; }

private:
    void receive() {
        m_socket.async_receive_from(asio::buffer(m_bytes), m_from,
                                    [this](const boost::system::error_code& error, std::size_t size) {
                                        if (error) {
                                            return;
                                        }
                                        handle_datagram(size);
                                        receive();
                                    });
    }

    void handle_datagram(std::size_t size) {
        if (m_loses_datagrams && ++m_datagrams % 2 == 0) {
            return;
        }
        const auto now = std::chrono::steady_clock::now();
        const auto message = decode(std::as_bytes(std::span(m_bytes)).first(size), now);
        REQUIRE(message.has_value());
        for (const auto& request : message->items.asks) {
            m_received.insert(request.ticket);
        }
        m_reports.insert(m_reports.end(), message->items.reports.begin(), message->items.reports.end());
        for (const auto& notice : message->items.rate_limits) {
            m_rate_limits[notice.server] = notice;
        }
        datagram reply;
        reply.items.rate_limits = m_announced;
        reply.sender.incarnation = 1;
        reply.sender.is_acting = m_is_acting;
        reply.sender.is_eligible = true;
        reply.sender.processor_share = 64;
        reply.session = m_is_acting ? message->session : 0;
        reply.acknowledged = message->batch;
        const auto bytes = encode(reply, now);
        m_socket.send_to(asio::buffer(bytes), m_from);
    }

    udp::socket m_socket;
    std::array<unsigned char, 2048> m_bytes{};
    udp::endpoint m_from;
    bool m_is_acting = true;
    std::set<slot_ticket> m_received;
    std::vector<server_report> m_reports;
    std::map<server_key, rate_limit_notice> m_rate_limits;
    std::vector<rate_limit_notice> m_announced;
    bool m_loses_datagrams = false;
    unsigned m_datagrams = 0;
};

/// A broker with the simulated member, and the outcome of each slot request.
class broker_site {
public:
    broker_site() : m_broker(m_context.get_executor(), m_timers, make_settings(), make_observers()) {
        m_broker.add_member(asio::ip::make_address("127.0.0.2"), 64);
        m_broker.set_quota(workspace, {.rate = 1, .burst = 3000});
        m_broker.set_server(1, engines, 4, 0);
        m_broker.start();
    }

    void run_until(const std::function<bool()>& condition) {
        while (!condition()) {
            m_context.run_one();
        }
    }
    [[nodiscard]] bool has_source(slot_source source) const { return m_broker.source() == source; }

    /// Requests a slot for a request that costs `units` of its workspace's quota.
    slot_ticket request_slot(double units) {
        slot_request wanted;
        wanted.ticket = m_broker.next_ticket();
        wanted.service = engines;
        wanted.workspace = workspace;
        wanted.arrived = std::chrono::steady_clock::now();
        wanted.deadline = wanted.arrived + 1h;
        wanted.target = 1h;
        wanted.units = units;
        m_broker.request(wanted, {[this](const slot_grant& grant) { m_granted.insert(grant.ticket); },
                                  [this](const slot_refusal& refusal) {
                                      m_refused.insert(refusal.ticket);
                                  }});
        return wanted.ticket;
    }
    [[nodiscard]] bool was_granted(slot_ticket ticket) const { return m_granted.contains(ticket); }
    [[nodiscard]] bool was_refused(slot_ticket ticket) const { return m_refused.contains(ticket); }
    void release(slot_ticket ticket, slot_outcome outcome) {
        m_broker.release({ticket, 1, outcome, 100ms, 50ms, 10});
    }
    simulated_member& other() { return m_other; }
    slot_broker& broker() { return m_broker; }
    /// The changes of rate limits that the broker has reported.
    [[nodiscard]] const std::vector<rate_limit_table::change>& rate_limit_changes() const {
        return m_changes;
    }

private:
    broker_settings make_settings() const {
        broker_settings settings;
        settings.local = {asio::ip::make_address("127.0.0.1"), m_other.port()};
        settings.coordinator_patience = 1h;
        settings.quotas.slack = 60000;
        return settings;
    }
    slot_broker::observers make_observers() {
        slot_broker::observers result;
        result.read_versions = [] {
            return slot_broker::versions{};
        };
        result.on_member_versions = [](const asio::ip::address&, const slot_broker::versions&) {
        };
        result.on_health_change = [](const slot_scheduler::health_change&) {
        };
        result.on_rate_limit = [this](const rate_limit_table::change& change) {
            m_changes.push_back(change);
        };
        return result;
    }

    asio::io_context m_context;
    timer_service m_timers;
    simulated_member m_other{m_context};
    std::set<slot_ticket> m_granted;
    std::set<slot_ticket> m_refused;
    std::vector<rate_limit_table::change> m_changes;
    slot_broker m_broker;
};

} // namespace

TEST_CASE("a large request waits for the next coordinator if the local share doesn't suffice",
          "[coordination][slot_broker]") {
    // While the coordinator restarts, each gateway may grant only its local share of each quota. One large
    // request can need more than that. Its caller was refused for exceeding a quota that it had hardly
    // used.
    broker_site site;
    site.run_until([&] { return site.has_source(slot_source::coordinator); });
    site.other().coordinate(false);
    site.run_until([&] { return site.has_source(slot_source::local_share); });
    const auto large = site.request_slot(30000);
    const auto small = site.request_slot(500);
    site.run_until(
        [&] { return site.was_granted(small); }); // its decision comes after that about the large request
    CHECK_FALSE(site.was_refused(large));
    site.other().coordinate(true);
    site.run_until([&] { return site.other().has_received(large); });
    CHECK_FALSE(site.was_refused(large));
}

TEST_CASE("a large request that arrives right after a start waits for the coordinator",
          "[coordination][slot_broker]") {
    // All gateways were killed and have restarted. Until a gateway has found the coordinator, it may grant
    // only its local share of each quota. Callers that retried large requests at once were refused.
    broker_site site;
    site.other().coordinate(false);
    const auto large = site.request_slot(30000);
    const auto small = site.request_slot(500);
    site.run_until([&] { return site.was_granted(small); });
    CHECK_FALSE(site.was_refused(large));
    site.other().coordinate(true);
    site.run_until([&] { return site.other().has_received(large); });
    CHECK_FALSE(site.was_refused(large));
}

TEST_CASE("a member reports to the next coordinator what it has learned about servers",
          "[coordination][slot_broker]") {
    // A server accepted no connection from this gateway. A new coordinator that doesn't know this would
    // send requests of other members to that server.
    broker_site site;
    site.run_until([&] { return site.has_source(slot_source::coordinator); });
    site.other().coordinate(false);
    site.run_until([&] { return site.has_source(slot_source::local_share); });
    const auto first = site.request_slot(500);
    site.run_until([&] { return site.was_granted(first); });
    site.release(first, slot_outcome::unreachable);
    site.other().coordinate(true);
    site.run_until([&] { return !site.other().reports().empty(); });
    const auto& report = site.other().reports().front();
    CHECK(report.server == 1);
    CHECK(report.rests == 1);
}

TEST_CASE("a rate limit that one gateway hears reaches its coordinator, although datagrams are lost",
          "[coordination][slot_broker][rate_limit]") {
    // An answer that names a limit is received by one gateway only. The coordinator, which grants the slots
    // of that server to all gateways, has to know it although half of the datagrams are lost.
    broker_site site;
    site.run_until([&] { return site.has_source(slot_source::coordinator); });
    site.other().lose_datagrams();
    site.broker().observe_rate_limit(1, 1.6, std::chrono::steady_clock::now());
    site.run_until([&] { return site.other().rate_limits().contains(1); });
    CHECK(site.other().rate_limits().at(1).limit == 1.6);
    site.broker().observe_rate_limit(1, std::nullopt, std::chrono::steady_clock::now());
    site.run_until([&] { return !site.other().rate_limits().at(1).limit.has_value(); });
}

TEST_CASE("a gateway that takes over knows the rate limits that others have heard",
          "[coordination][slot_broker][rate_limit]") {
    // The coordinator stops. Its successor must know the limits before it grants its first slot, and the
    // limit of a server that it has yet to read of in the store, too.
    broker_site site;
    const auto now = std::chrono::steady_clock::now();
    site.other().announce({{1, 51, 0.001, now, now, 3}, {2, 52, 0.001, now, now, 3}});
    site.run_until([&] { return site.rate_limit_changes().size() == 2; });
    site.other().coordinate(false);
    site.run_until([&] { return site.has_source(slot_source::local_share); });
    site.broker().set_server(2, engines, 4, 0);
    slot_request wanted;
    wanted.ticket = site.broker().next_ticket();
    wanted.service = engines;
    wanted.arrived = now;
    wanted.deadline = now + 1h;
    wanted.target = 100ms;
    bool was_granted = false;
    site.broker().set_server(3, engines + 1, 4, 0);
    site.broker().request(wanted, {[&](const slot_grant&) { was_granted = true; },
                                   [](const slot_refusal&) {
                                   }});
    auto elsewhere = wanted;
    elsewhere.ticket = site.broker().next_ticket();
    elsewhere.service = engines + 1;
    bool was_granted_elsewhere = false;
    site.broker().request(elsewhere, {[&](const slot_grant&) { was_granted_elsewhere = true; },
                                      [](const slot_refusal&) {
                                      }});
    site.run_until([&] { return was_granted_elsewhere; });
    CHECK_FALSE(was_granted);
}

TEST_CASE("a gateway that has just started grants no slot before it has heard another one",
          "[coordination][slot_broker][rate_limit]") {
    // A gateway restarts and knows no rate limits, while callers wait for it already. If it granted slots by
    // itself at once, it would send a server in need as many requests as the server has slots.
    broker_site site;
    site.other().coordinate(false);
    const auto now = std::chrono::steady_clock::now();
    site.other().announce({{1, 51, 0.001, now, now, 3}});
    const auto first = site.request_slot(1);
    site.run_until([&] { return !site.rate_limit_changes().empty(); });
    CHECK_FALSE(site.was_granted(first));
}
