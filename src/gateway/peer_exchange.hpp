// Exchanges the newest configuration and the registrations of backend servers between gateways, so that a
// gateway that can't reach the store gets them too.
#pragma once

#include "gateway/backend_roster.hpp"
#include "gateway/configuration_manager.hpp"
#include "gateway/send_budget.hpp"
#include "http/server.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>

namespace borageford::gateway {

/// Each datagram of a peer states which versions the peer holds. If this gateway has held an older version
/// for longer than the store usually takes to deliver the change, it fetches the newer one from a peer over
/// HTTP.
class peer_exchange {
public:
    /// `local` is the TCP address to listen on; peers are reached on the same port. `is_store_available`
    /// returns whether the store answers this gateway, `relies_on_peers` whether this gateway learns of
    /// changes from peers only.
    peer_exchange(boost::asio::any_io_executor executor, const boost::asio::ip::tcp::endpoint& local,
                  const http::server_limits& server_limits, configuration_manager& configuration,
                  backend_roster& backends, std::function<bool()> is_store_available,
                  std::function<bool()> relies_on_peers);

    void start();

    /// Records the versions that a peer holds, and fetches newer ones if it is time.
    void record_versions(const boost::asio::ip::address& peer, std::uint64_t configuration,
                         store::position backends);

    /// Returns whether a peer has recently reported a newer configuration than the one held here.
    [[nodiscard]] bool has_peer_with_newer_configuration() const;

    /// Makes the next peer that is ahead be asked for registrations at once. Called when a slot was granted
    /// at a server that is unknown here.
    void fetch_backends_at_once() noexcept { m_fetches_backends_at_once = true; }

private:
    using clock = std::chrono::steady_clock;

    [[nodiscard]] std::chrono::milliseconds configuration_delay() const;
    [[nodiscard]] std::chrono::milliseconds backend_delay() const;
    [[nodiscard]] http::response answer(const http::request& received);
    [[nodiscard]] std::string encode_changes_after(store::position held);
    boost::asio::awaitable<void> fetch_configuration(boost::asio::ip::tcp::endpoint peer);
    boost::asio::awaitable<void> fetch_backends(boost::asio::ip::tcp::endpoint peer);

    /// Since when this gateway has been behind its peers, and whether it is fetching the newer version.
    struct lag {
        clock::time_point since = clock::time_point::max();
        bool is_fetching = false;

        /// Returns whether this gateway has been behind for `delay`, so that a peer should be asked now;
        /// if so, marks the fetch as running.
        [[nodiscard]] bool is_due(std::chrono::milliseconds delay, clock::time_point now);
    };

    /// The versions that a peer reported last, and when.
    struct peer_report {
        std::uint64_t configuration = 0;
        store::position backends;
        clock::time_point at;
    };
    void record_report(const boost::asio::ip::address& peer, const peer_report& report);
    /// Draws one of the peers that hold more than `held`; there must be at least one.
    template <typename Version>
    [[nodiscard]] boost::asio::ip::tcp::endpoint choose_peer(Version peer_report::* version,
                                                             const Version& held, clock::time_point now);

    boost::asio::any_io_executor m_executor;
    boost::asio::ip::tcp::endpoint m_local;
    configuration_manager& m_configuration;
    backend_roster& m_backends;
    std::function<bool()> m_is_store_available;
    /// Whether changes are learned from peers, and the store isn't polled.
    std::function<bool()> m_relies_on_peers;
    /// The last complete update in encoded form. After all gateways were killed, each of them requests it,
    /// and encoding thousands of registrations for each request would take seconds.
    std::string m_complete_update;
    store::position m_complete_update_position;
    send_budget m_sending; ///< must outlive the answers that m_server sends
    http::server m_server;
    std::minstd_rand m_random{std::random_device{}()};
    std::map<boost::asio::ip::address, peer_report> m_reports;
    clock::time_point m_next_cleanup; ///< When the peers without recent reports are dropped next.
    lag m_configuration_lag;
    lag m_backend_lag;
    bool m_fetches_backends_at_once = false;
};

} // namespace borageford::gateway
