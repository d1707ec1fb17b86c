// Implements fault_proxy: one thread forwards units (frames or raw bytes) between pairs of sockets and
// applies faults.
#include "support/fault_proxy.hpp"

#include "support/wait_until.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <deque>
#include <future>
#include <list>
#include <mutex>
#include <numeric>
#include <optional>
#include <set>
#include <thread>
#include <vector>

namespace borageford::test {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using clock = std::chrono::steady_clock;

namespace {

constexpr std::size_t piece_size = 16384;
/// Bytes that one direction of a connection takes in while it is held. The sender is blocked after that, as
/// by a path that loses all packets.
constexpr std::size_t max_held_bytes = 1'048'576;
constexpr std::size_t corrupt_stride = 7;
/// Wait after a failed accept, in which other connections may close and free descriptors.
constexpr std::chrono::milliseconds accept_pause{50};

/// What happens to bytes in one direction of a connection.
enum class lane_state : std::uint8_t { passing, holding, dropping };

/// A unit that was received and isn't forwarded yet.
struct waiting_unit {
    std::string bytes;
    clock::time_point received;
    bool is_held = false; ///< the lane was held while the unit waited
};

/// One direction of a connection.
struct lane {
    [[nodiscard]] std::size_t waiting_bytes() const {
        return std::accumulate(waiting.begin(), waiting.end(), std::size_t{0},
                               [](std::size_t sum, const auto& unit) { return sum + unit.bytes.size(); });
    }

    void set_state(lane_state wanted) {
        state = wanted;
        for (auto& unit : waiting) {
            unit.is_held = unit.is_held || state == lane_state::holding;
        }
    }

    lane_state state = lane_state::passing;
    std::deque<waiting_unit> waiting; ///< the first unit stays here until it is forwarded
    std::optional<received_end> end;  ///< set once the source has closed the connection
    std::vector<std::size_t> held;    ///< indices of this lane's units in fault_proxy::state::held
    bool is_finished = false;         ///< nothing more is forwarded
};

/// An accepted connection and the connection to the server that its bytes are forwarded on.
struct relay {
    explicit relay(tcp::socket accepted)
        : client(std::move(accepted)),
          server(client.get_executor()),
          changed(client.get_executor(), asio::steady_timer::time_point::max()) {}

    tcp::socket& source(direction way) { return way == direction::up ? client : server; }
    tcp::socket& sink(direction way) { return way == direction::up ? server : client; }
    lane& at(direction way) { return lanes.at(static_cast<std::size_t>(way)); }

    void cut(cut_kind kind) {
        boost::system::error_code ignored;
        for (auto* socket : {&client, &server}) {
            if (kind == cut_kind::reset) {
                socket->set_option(asio::socket_base::linger(true, 0), ignored);
            } else {
                socket->shutdown(tcp::socket::shutdown_both, ignored);
            }
            socket->close(ignored);
        }
        changed.cancel();
    }

    tcp::socket client;
    tcp::socket server;
    std::array<lane, 2> lanes;
    asio::steady_timer changed; ///< never expires; cancelled to wake waiters when a lane's state changes
};

/// A fault that arm() set and that no unit has matched yet.
struct armed_fault {
    std::size_t number;
    direction way;
    unit_matcher matches;
    fault what;
};

std::string corrupted(std::string unit) {
    for (std::size_t index = wire::frame_header_size; index < unit.size(); index += corrupt_stride) {
        unit[index] = static_cast<char>(unit[index] ^ 0x5a);
    }
    return unit;
}

} // namespace

unit_matcher contains(std::string text) {
    return [wanted = std::move(text)](std::string_view unit) {
        return unit.find(wanted) != std::string_view::npos;
    };
}

struct fault_proxy::state {
    state(const endpoint& server, proxy_units kind)
        : target(server),
          units(kind),
          acceptor(context, endpoint(asio::ip::address_v4::loopback(), 0)),
          address(acceptor.local_endpoint()) {
        asio::co_spawn(context, accept(), asio::detached);
        thread = std::thread([this] { context.run(); });
    }

    ~state() {
        context.stop();
        thread.join();
    }
    state(const state&) = delete;
    state& operator=(const state&) = delete;
    state(state&&) = delete;
    state& operator=(state&&) = delete;

    /// Runs `action` on the proxy's thread and waits for its result, so that a command has taken effect when
    /// it returns.
    template <typename Action>
    auto on_thread(Action action) {
        std::packaged_task<decltype(action())()> task(std::move(action));
        auto result = task.get_future();
        asio::post(context, [&task] { task(); });
        return result.get();
    }

    asio::awaitable<void> accept() {
        while (true) {
            boost::system::error_code error;
            auto socket = co_await acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
            if (error == asio::error::operation_aborted || error == asio::error::bad_descriptor) {
                co_return; // the listening port was closed
            }
            if (error) {
                // Most likely the process is out of descriptors. If the proxy stopped accepting here, it
                // would take no connection for the rest of the test, and the server behind it would seem
                // down.
                asio::steady_timer pause(context, accept_pause);
                co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, error));
                continue;
            }
            if (refusing) {
                socket.close();
                continue;
            }
            ++accepted;
            asio::co_spawn(context, serve(std::make_shared<relay>(std::move(socket))), asio::detached);
        }
    }

    asio::awaitable<void> serve(std::shared_ptr<relay> link) {
        boost::system::error_code error;
        co_await link->server.async_connect(target, asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            link->cut(cut_kind::reset);
            co_return;
        }
        link->client.set_option(tcp::no_delay(true), error);
        link->server.set_option(tcp::no_delay(true), error);
        relays.push_back(link);
        for (const auto way : {direction::up, direction::down}) {
            asio::co_spawn(context, receive(link, way), asio::detached);
            asio::co_spawn(context, pump(link, way), asio::detached);
        }
    }

    /// Receives units until the source closes the connection. While the lane is held, units are received
    /// ahead, so that the proxy notices when the source closes the connection behind them.
    asio::awaitable<void> receive(std::shared_ptr<relay> link, direction way) {
        auto& way_lane = link->at(way);
        boost::system::error_code ended;
        try {
            while (true) {
                auto unit = co_await read_unit(*link, way);
                way_lane.waiting.push_back(
                    {std::move(unit), clock::now(), way_lane.state == lane_state::holding});
                link->changed.cancel();
                while (!can_receive(way_lane)) {
                    co_await wait_for_change(*link);
                }
            }
        } catch (const boost::system::system_error& problem) {
            ended = problem.code();
        }
        const bool is_orderly = ended == asio::error::eof;
        way_lane.end = received_end{clock::now(), is_orderly ? cut_kind::end : cut_kind::reset};
        link->changed.cancel();
    }

    static bool can_receive(const lane& way_lane) {
        return way_lane.state == lane_state::holding ? way_lane.waiting_bytes() < max_held_bytes
                                                     : way_lane.waiting.empty();
    }

    asio::awaitable<void> pump(std::shared_ptr<relay> link, direction way) {
        try {
            co_await pump_units(*link, way);
        } catch (const boost::system::system_error&) {
            link->cut(cut_kind::reset);
        }
        link->at(way).is_finished = true;
        const auto& lanes = link->lanes;
        if (!link->client.is_open() || std::ranges::all_of(lanes, &lane::is_finished)) {
            relays.remove(link);
        }
    }

    /// Forwards units, and after the last one the end of the connection.
    asio::awaitable<void> pump_units(relay& link, direction way) {
        auto& way_lane = link.at(way);
        while (true) {
            while (way_lane.waiting.empty() &&
                   (!way_lane.end.has_value() || way_lane.state == lane_state::holding)) {
                co_await wait_for_change(link);
            }
            if (way_lane.waiting.empty()) {
                forward_end(link, way);
                co_return;
            }
            co_await forward_unit(link, way);
            way_lane.waiting.pop_front();
            link.changed.cancel();
        }
    }

    asio::awaitable<void> forward_unit(relay& link, direction way) {
        auto& way_lane = link.at(way);
        const auto action = find_fault(way_lane.waiting.front().bytes, way);
        apply_to_lanes(link, way, action);
        update_waiting();
        while (way_lane.state == lane_state::holding) {
            co_await wait_for_change(link);
        }
        if (way_lane.state == lane_state::passing) {
            co_await send_unit(link, way, way_lane.waiting.front().bytes, action.value_or(fault::pass));
            record_held_unit(way_lane, way);
        }
    }

    void record_held_unit(lane& way_lane, direction way) {
        const auto& unit = way_lane.waiting.front();
        if (unit.is_held) {
            way_lane.held.push_back(held.size());
            held.push_back({way, unit.bytes, unit.received, clock::now(), std::nullopt, {}});
        }
    }

    static void apply_to_lanes(relay& link, direction way, std::optional<fault> action) {
        const auto back = way == direction::up ? direction::down : direction::up;
        if (action == fault::hold || action == fault::isolate) {
            link.at(way).set_state(lane_state::holding);
        } else if (action == fault::drop || action == fault::drop_both) {
            link.at(way).set_state(lane_state::dropping);
        }
        if (action == fault::drop_both || action == fault::isolate) {
            link.at(back).set_state(lane_state::dropping);
        }
    }

    void forward_end(relay& link, direction way) {
        const auto end = *link.at(way).end;
        for (const auto index : link.at(way).held) {
            held.at(index).end = end;
            held.at(index).end_forwarded = clock::now();
        }
        if (end.kind == cut_kind::reset) {
            link.cut(cut_kind::reset);
            return;
        }
        boost::system::error_code ignored;
        link.sink(way).shutdown(tcp::socket::shutdown_send, ignored);
    }

    asio::awaitable<void> send_unit(relay& link, direction way, std::string unit, fault action) {
        if (delay.count() > 0) {
            asio::steady_timer timer(context, delay);
            co_await timer.async_wait(asio::use_awaitable);
        }
        if (action == fault::lose) {
            link.cut(cut_kind::reset);
            co_return;
        }
        if (action == fault::corrupt) {
            unit = corrupted(std::move(unit));
        } else if (action == fault::truncate) {
            unit.resize(unit.size() / 2);
        } else if (action == fault::duplicate) {
            unit += unit;
        }
        co_await asio::async_write(link.sink(way), asio::buffer(unit), asio::use_awaitable);
        // Closes without a reset, which would discard bytes that the peer hasn't read yet.
        if (action == fault::truncate || action == fault::cut_after) {
            link.cut(cut_kind::end);
        }
    }

    asio::awaitable<std::string> read_unit(relay& link, direction way) {
        auto& source = link.source(way);
        std::string unit;
        if (units == proxy_units::raw) {
            unit.resize(piece_size);
            unit.resize(co_await source.async_read_some(asio::buffer(unit), asio::use_awaitable));
            co_return unit;
        }
        unit.resize(wire::frame_header_size);
        co_await asio::async_read(source, asio::buffer(unit), asio::use_awaitable);
        const auto header = std::as_bytes(std::span<const char, wire::frame_header_size>(unit));
        const auto length = wire::decode_length(header);
        unit.resize(wire::frame_header_size + length);
        co_await asio::async_read(source, asio::buffer(unit.data() + wire::frame_header_size, length),
                                  asio::use_awaitable);
        co_return unit;
    }

    std::optional<fault> find_fault(std::string_view unit, direction way) {
        const auto found = std::ranges::find_if(
            armed, [&](const armed_fault& item) { return item.way == way && item.matches(unit); });
        if (found == armed.end()) {
            return std::nullopt;
        }
        const auto what = found->what;
        armed.erase(found);
        return what;
    }

    /// Updates the set that wait_for_fault() checks. Called only after the fault's lane states are set, so
    /// that they are in effect when wait_for_fault() returns.
    void update_waiting() {
        const std::scoped_lock lock(waiting_mutex);
        waiting.clear();
        for (const auto& item : armed) {
            waiting.insert(item.number);
        }
    }

    bool has_fired(std::optional<std::size_t> number) {
        const std::scoped_lock lock(waiting_mutex);
        return number ? !waiting.contains(*number) : waiting.empty();
    }

    static asio::awaitable<void> wait_for_change(relay& link) {
        boost::system::error_code ignored;
        co_await link.changed.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        if (!link.client.is_open()) {
            throw boost::system::system_error(asio::error::operation_aborted);
        }
    }

    void set_lanes(direction way, lane_state wanted) {
        for (const auto& link : relays) {
            link->at(way).set_state(wanted);
            link->changed.cancel();
        }
    }

    void release_lanes() {
        for (const auto& link : relays) {
            for (auto& each : link->lanes) {
                each.set_state(each.state == lane_state::holding ? lane_state::passing : each.state);
            }
            link->changed.cancel();
        }
    }

    asio::io_context context{1};
    asio::executor_work_guard<asio::io_context::executor_type> work{context.get_executor()};
    endpoint target;
    proxy_units units;
    tcp::acceptor acceptor;
    endpoint address;
    std::chrono::milliseconds delay{0};
    bool refusing = false;
    std::list<std::shared_ptr<relay>> relays;
    std::vector<held_unit> held;
    std::vector<armed_fault> armed;
    std::size_t accepted = 0;
    std::size_t next_number = 0;
    std::mutex waiting_mutex;
    std::set<std::size_t> waiting; ///< armed faults that haven't fired; guarded by `waiting_mutex`
    std::thread thread;
};

fault_proxy::fault_proxy(const endpoint& target, proxy_units units)
    : m_state(std::make_unique<state>(target, units)) {}

fault_proxy::~fault_proxy() = default;

fault_proxy::endpoint fault_proxy::address() const {
    return m_state->address;
}

void fault_proxy::set_target(const endpoint& target) {
    m_state->on_thread([&] { m_state->target = target; });
}

void fault_proxy::set_delay(std::chrono::milliseconds delay) {
    m_state->on_thread([&] { m_state->delay = delay; });
}

void fault_proxy::set_refusing(bool refusing) {
    m_state->on_thread([&] { m_state->refusing = refusing; });
}

void fault_proxy::set_listening(bool listening) {
    m_state->on_thread([&] {
        if (!listening) {
            m_state->acceptor.close();
            return;
        }
        m_state->acceptor = tcp::acceptor(m_state->context, m_state->address);
        asio::co_spawn(m_state->context, m_state->accept(), asio::detached);
    });
}

void fault_proxy::cut(cut_kind kind) {
    m_state->on_thread([&] {
        for (const auto& link : std::list(m_state->relays)) {
            link->cut(kind);
        }
    });
}

void fault_proxy::drop(direction way) {
    m_state->on_thread([&] { m_state->set_lanes(way, lane_state::dropping); });
}

void fault_proxy::hold(direction way) {
    m_state->on_thread([&] { m_state->set_lanes(way, lane_state::holding); });
}

void fault_proxy::release() {
    m_state->on_thread([&] { m_state->release_lanes(); });
}

std::size_t fault_proxy::arm(direction way, unit_matcher matches, fault what) {
    return m_state->on_thread([&] {
        const auto number = m_state->next_number++;
        m_state->armed.push_back({number, way, std::move(matches), what});
        m_state->update_waiting();
        return number;
    });
}

void fault_proxy::wait_for_fault(std::size_t number) {
    wait_until("the armed fault", [&] { return m_state->has_fired(number); });
}

void fault_proxy::wait_for_fault() {
    wait_until("the armed faults", [this] { return m_state->has_fired(std::nullopt); });
}

std::vector<held_unit> fault_proxy::held_units() const {
    return m_state->on_thread([this] { return m_state->held; });
}

std::size_t fault_proxy::open_connections() const {
    return m_state->on_thread([this] { return m_state->relays.size(); });
}

std::size_t fault_proxy::accepted_connections() const {
    return m_state->on_thread([this] { return m_state->accepted; });
}

} // namespace borageford::test
