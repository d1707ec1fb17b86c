// Exchanges the newest configuration and the registrations of backend servers between gateways, so that a
// gateway that can't reach the store gets them too.
#pragma once

#include "gateway/backend_roster.hpp"
#include "gateway/configuration_keeper.hpp"
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
    /// `local` is the TCP address to listen on; peers are reached on the same port. `is_store_well` returns
    /// whether the store answers this gateway, `relies_on_peers` whether this gateway learns of changes from
    /// peers only.
public:
    peer_exchange(boost::asio::any_io_executor executor, const boost::asio::ip::tcp::endpoint& local,
                  configuration_keeper& configuration, backend_roster& backends,
                  std::function<bool()> is_store_well, std::function<bool()> relies_on_peers);

    void start();

    /// Records the versions that a peer holds, and fetches newer ones if it is time.
    void hear(const boost::asio::ip::address& peer, std::uint64_t configuration, store::position backends);

    /// Returns whether a peer has recently reported a newer configuration than the one held here.
    [[nodiscard]] bool hears_newer_configuration() const;

    /// Makes the next peer that is ahead be asked for registrations at once. Called when a slot was granted
    /// at a server that is unknown here.
    void want_backends() noexcept { m_wants_backends = true; }

private:
    using clock = std::chrono::steady_clock;

    [[nodiscard]] std::chrono::milliseconds configuration_patience() const;
    [[nodiscard]] std::chrono::milliseconds backend_patience() const;
    [[nodiscard]] http::response answer(const http::request& received);
    [[nodiscard]] std::string encode_changes_after(store::position held);
    boost::asio::awaitable<void> ask_for_configuration(boost::asio::ip::tcp::endpoint peer);
    boost::asio::awaitable<void> ask_for_backends(boost::asio::ip::tcp::endpoint peer);

    /// Since when this gateway has been behind its peers, and whether it is fetching the newer version.
    struct lag {
        clock::time_point since = clock::time_point::max();
        bool is_asking = false;

        /// Returns whether this gateway has been behind for `patience`, so that a peer should be asked now;
        /// if so, marks the fetch as running.
        [[nodiscard]] bool is_due(std::chrono::milliseconds patience, clock::time_point now);
    };

    /// The versions that a peer reported last, and when.
    struct heard_peer {
        std::uint64_t configuration = 0;
        store::position backends;
        clock::time_point at;
    };
    void note_heard(const boost::asio::ip::address& peer, const heard_peer& heard);
    /// Draws one of the peers that hold more than `held`; there must be at least one.
    template <typename Version>
    [[nodiscard]] boost::asio::ip::tcp::endpoint choose_peer(Version heard_peer::* version,
                                                             const Version& held, clock::time_point now);

    boost::asio::any_io_executor m_executor;
    boost::asio::ip::tcp::endpoint m_local;
    configuration_keeper& m_configuration;
    backend_roster& m_backends;
    std::function<bool()> m_is_store_well;
    /// Whether changes are learned from peers, and the store isn't polled.
    std::function<bool()> m_relies_on_peers;
    /// The last complete update in encoded form. After all gateways were killed, each of them requests it, and
    /// encoding thousands of registrations for each request would take seconds.
    std::string m_whole_update;
    store::position m_whole_update_position;
    send_budget m_sending; ///< must outlive the answers that m_server sends
    http::server m_server;
    std::minstd_rand m_random{std::random_device{}()};
    std::map<boost::asio::ip::address, heard_peer> m_heard;
    clock::time_point m_next_forgetting; ///< When the peers without recent reports are dropped next.
    lag m_configuration_lag;
    lag m_backend_lag;
    bool m_wants_backends = false;
};

} // namespace borageford::gateway
