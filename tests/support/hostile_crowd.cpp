// Implements hostile_crowd with non-blocking sockets and poll().
#include "support/hostile_crowd.hpp"

#include "support/wait_until.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <charconv>
#include <chrono>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <poll.h>
#include <span>
#include <sstream>
#include <sys/socket.h>
#include <thread>
#include <utility>
#include <vector>

namespace borageford::test {

namespace asio = boost::asio;
using asio::ip::tcp;
using clock = std::chrono::steady_clock;

namespace {

/// A crowd of which nothing was sent or read for this long can't send any more.
constexpr std::chrono::milliseconds settling_time{500};
constexpr int poll_ms = 20;
/// How many pieces one member sends before the others have their turn.
constexpr int pieces_in_turn = 4;

/// Bytes that have arrived at the port and that its process hasn't read.
std::size_t count_unread_bytes(std::uint16_t port) {
    std::ifstream connections("/proc/net/tcp");
    std::string line;
    std::getline(connections, line);
    std::size_t sum = 0;
    while (std::getline(connections, line)) {
        // "number: address:port address:port state sending:unread ...", all but the number in hexadecimal
        // digits
        std::istringstream fields(line);
        std::string number;
        std::string local;
        std::string remote;
        std::string state;
        std::string queues;
        fields >> number >> local >> remote >> state >> queues;
        const bool is_listening = state == "0A";
        if (!is_listening && std::stoul(local.substr(local.find(':') + 1), nullptr, 16) == port) {
            sum += std::stoul(queues.substr(queues.find(':') + 1), nullptr, 16);
        }
    }
    return sum;
}

} // namespace

struct hostile_crowd::state {
    struct member {
        tcp::socket socket;
        std::size_t piece = 0;  ///< 0: script.first, otherwise the number of the piece being sent
        std::size_t offset = 0; ///< of the bytes that were sent of it
    };

    state(const http::endpoint& to, crowd_script played) : server(to), script(std::move(played)) {
        for (std::size_t index = 0; index < script.members; ++index) {
            members.push_back(member{tcp::socket(context)});
        }
        left_reconnections = script.reconnections;
    }

    [[nodiscard]] bool has_more(const member& one) const {
        return one.socket.is_open() && one.piece <= script.pieces;
    }

    void connect(member& one) const {
        boost::system::error_code error;
        one.socket.open(server.protocol(), error);
        one.socket.connect(server, error);
        one.socket.non_blocking(true, error);
        one.piece = 0;
        one.offset = 0;
        if (error) {
            one.socket.close(error);
        }
    }

    void come_back(member& one) {
        boost::system::error_code ignored;
        one.socket.close(ignored);
        if (left_reconnections > 0) {
            --left_reconnections;
            connect(one);
        }
    }

    void send(member& one) {
        for (int turn = 0; turn < pieces_in_turn && has_more(one); ++turn) {
            const auto& bytes = one.piece == 0 ? script.first : script.piece;
            const auto rest = std::span(bytes).subspan(one.offset);
            const auto count = ::send(one.socket.native_handle(), rest.data(), rest.size(), MSG_NOSIGNAL);
            if (count < 0) {
                if (errno != EAGAIN) {
                    come_back(one);
                }
                return;
            }
            one.offset += static_cast<std::size_t>(count);
            if (one.offset == bytes.size()) {
                ++one.piece;
                one.offset = 0;
            }
            last_sent.store(clock::now());
        }
    }

    void step() {
        std::vector<pollfd> watched;
        for (auto& one : members) {
            const int wanted = POLLRDHUP | (has_more(one) ? POLLOUT : 0);
            watched.push_back(
                {one.socket.is_open() ? one.socket.native_handle() : -1, static_cast<short>(wanted), 0});
        }
        ::poll(watched.data(), watched.size(), poll_ms);
        for (std::size_t index = 0; index < members.size(); ++index) {
            const auto events = watched[index].revents;
            if ((events & (POLLRDHUP | POLLERR | POLLHUP)) != 0) {
                come_back(members[index]);
            } else if ((events & POLLOUT) != 0) {
                send(members[index]);
            }
        }
    }

    void play(const std::stop_token& stop) {
        for (auto& one : members) {
            connect(one);
            send(one);
        }
        while (!stop.stop_requested()) {
            step();
            is_done.store(std::ranges::none_of(members, [this](const auto& one) { return has_more(one); }));
        }
    }

    http::endpoint server;
    crowd_script script;
    asio::io_context context;
    std::vector<member> members;
    std::size_t left_reconnections = 0;
    std::atomic<bool> is_done = false;
    std::atomic<clock::time_point> last_sent = clock::now();
    std::jthread thread; ///< uses all members above
};

crowd_script unfinished_bodies(const std::string& target) {
    return {.members = 100,
            .first = "POST " + target + " HTTP/1.1\r\nHost: x\r\nContent-Length: 4000000\r\n\r\n",
            .piece = std::string(1U << 20U, 'b'),
            .pieces = 3};
}

hostile_crowd::hostile_crowd(const http::endpoint& server, crowd_script script)
    : m_state(std::make_unique<state>(server, std::move(script))) {
    m_state->thread =
        std::jthread([played = m_state.get()](const std::stop_token& stop) { played->play(stop); });
}

hostile_crowd::~hostile_crowd() = default;

void hostile_crowd::wait_until_settled() const {
    std::size_t unread = 0;
    auto last_change = clock::now();
    wait_until("the crowd can't send any more", [&] {
        const auto now_unread = count_unread_bytes(m_state->server.port());
        if (now_unread != unread) {
            unread = now_unread;
            last_change = clock::now();
        }
        const bool is_all_taken = m_state->is_done.load() && unread == 0;
        return is_all_taken ||
               clock::now() - std::max(last_change, m_state->last_sent.load()) > settling_time;
    });
}

std::size_t count_descriptors(const child_process& process) {
    const std::filesystem::directory_iterator open("/proc/" + std::to_string(process.id()) + "/fd");
    return static_cast<std::size_t>(std::distance(begin(open), end(open)));
}

unsigned send_in_two_parts(const http::endpoint& server, const std::string& head, const std::string& body) {
    constexpr std::size_t status_offset = 9; // after "HTTP/1.1 "
    asio::io_context context;
    tcp::socket socket(context);
    boost::system::error_code error;
    const auto half = body.size() / 2;
    socket.connect(server, error);
    asio::write(socket, asio::buffer(head + body.substr(0, half)), error);
    std::this_thread::sleep_for(std::chrono::milliseconds(50)); // so that it isn't read as one
    asio::write(socket, asio::buffer(body.substr(half)), error);
    const ::timeval limit{5, 0};
    ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    std::array<char, status_offset + 3> line{};
    unsigned status = 0;
    if (::recv(socket.native_handle(), line.data(), line.size(), MSG_WAITALL) ==
        static_cast<::ssize_t>(line.size())) {
        std::from_chars(line.data() + status_offset, line.data() + line.size(), status);
    }
    return status;
}

} // namespace borageford::test
