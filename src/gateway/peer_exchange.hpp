// Passes the newest configuration and registrations between gateways, for those that the store turns away.
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

/// A gateway hears in every datagram which versions its peers hold. What it lacks for longer than the store
/// usually takes to tell it, it asks the peer for.
class peer_exchange {
public:
    peer_exchange(boost::asio::any_io_executor executor, const boost::asio::ip::tcp::endpoint& local,
                  configuration_keeper& configuration, backend_roster& backends,
                  std::function<bool()> is_store_well, std::function<bool()> relies_on_peers);

    void start();

    /// A peer holds these versions.
    void hear(const boost::asio::ip::address& peer, std::uint64_t configuration, store::position backends);

    /// Whether a peer has said lately that it holds a newer one than this process.
    [[nodiscard]] bool hears_newer_configuration() const;

    /// A server is named to this gateway that it doesn't know: the next peer that is ahead is asked at once.
    void want_backends() noexcept { m_wants_backends = true; }

private:
    using clock = std::chrono::steady_clock;

    [[nodiscard]] std::chrono::milliseconds configuration_patience() const;
    [[nodiscard]] std::chrono::milliseconds backend_patience() const;
    [[nodiscard]] http::response answer(const http::request& received);
    [[nodiscard]] std::string encode_changes_after(store::position held);
    boost::asio::awaitable<void> ask_for_configuration(boost::asio::ip::tcp::endpoint peer);
    boost::asio::awaitable<void> ask_for_backends(boost::asio::ip::tcp::endpoint peer);

    /// Since when something has been behind, and whether it is being asked for.
    struct lag {
        clock::time_point since = clock::time_point::max();
        bool is_asking = false;

        /// Whether it is time to ask a peer that is ahead.
        [[nodiscard]] bool is_due(std::chrono::milliseconds patience, clock::time_point now);
    };

    /// What a peer said last that it holds.
    struct heard_peer {
        std::uint64_t configuration = 0;
        store::position backends;
        clock::time_point at;
    };
    void note_heard(const boost::asio::ip::address& peer, const heard_peer& heard);
    /// One of the peers that hold more than `held`; at least one does.
    template <typename Version>
    [[nodiscard]] boost::asio::ip::tcp::endpoint choose_peer(Version heard_peer::* version,
                                                             const Version& held, clock::time_point now);

    boost::asio::any_io_executor m_executor;
    boost::asio::ip::tcp::endpoint m_local;
    configuration_keeper& m_configuration;
    backend_roster& m_backends;
    std::function<bool()> m_is_store_well;
    std::function<bool()> m_relies_on_peers; ///< the store isn't asked for changes
    /// The last whole update as it is sent. After all gateways were killed each asks for it, and encoding
    /// thousands of registrations anew for each would take seconds.
    std::string m_whole_update;
    store::position m_whole_update_position;
    send_budget m_sending; ///< outlives the server's answers
    http::server m_server;
    std::minstd_rand m_random{std::random_device{}()};
    std::map<boost::asio::ip::address, heard_peer> m_heard;
    clock::time_point m_next_forgetting; ///< of peers that are silent
    lag m_configuration_lag;
    lag m_backend_lag;
    bool m_wants_backends = false;
};

} // namespace borageford::gateway
