// Stand-ins for the scripts of the review: the platform's store, replicas, clients, and the start of a
// gateway with the command and the template of the deploy file. Loopback addresses and the real clock only.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cmath>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <signal.h>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace review {

using clock_type = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline const clock_type::time_point begin_time = clock_type::now();

inline double seconds_since_begin() {
    return std::chrono::duration<double>(clock_type::now() - begin_time).count();
}

/// Exit codes of a script.
constexpr int rule_held = 0;
constexpr int rule_broken = 1;
constexpr int could_not_run = 2;

/// Writes record.txt: one line for each thing that was sent, answered or run.
class recorder {
public:
    explicit recorder(const std::string& path) : m_file(std::fopen(path.c_str(), "w")) {}
    ~recorder() {
        if (m_file != nullptr) {
            std::fclose(m_file);
        }
    }
    recorder(const recorder&) = delete;
    recorder& operator=(const recorder&) = delete;

    __attribute__((format(printf, 2, 3))) void line(const char* format, ...) {
        const std::lock_guard lock(m_mutex);
        std::va_list arguments;
        va_start(arguments, format);
        std::fprintf(m_file, "%8.4f  ", seconds_since_begin());
        std::vfprintf(m_file, format, arguments);
        std::fputc('\n', m_file);
        std::fflush(m_file);
        va_end(arguments);
    }

private:
    std::mutex m_mutex;
    std::FILE* m_file;
};

inline bool wants_trouble() {
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

// Sockets.

inline sockaddr_in address_of(const std::string& ip, int port) {
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &result.sin_addr);
    return result;
}

/// Returns a listening socket; port 0 lets the kernel choose one.
inline int listen_on(const std::string& ip, int& port) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto address = address_of(ip, port);
    if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || ::listen(fd, 512) != 0) {
        std::perror("listen");
        std::exit(could_not_run);
    }
    socklen_t size = sizeof address;
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    port = ntohs(address.sin_port);
    return fd;
}

struct message {
    std::string start; ///< the request line or the status line
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    [[nodiscard]] std::string field(const std::string& name) const {
        for (const auto& [key, value] : fields) {
            if (::strcasecmp(key.c_str(), name.c_str()) == 0) {
                return value;
            }
        }
        return {};
    }
    [[nodiscard]] bool has(const std::string& name) const {
        return std::any_of(fields.begin(), fields.end(), [&](const auto& each) {
            return ::strcasecmp(each.first.c_str(), name.c_str()) == 0;
        });
    }
    [[nodiscard]] int status() const { return start.size() > 12 ? std::atoi(start.c_str() + 9) : 0; }
};

enum class read_result { complete, closed, reset, timed_out, malformed };

inline const char* to_text(read_result what) {
    switch (what) {
    case read_result::complete:
        return "complete";
    case read_result::closed:
        return "closed";
    case read_result::reset:
        return "reset";
    case read_result::timed_out:
        return "timed out";
    case read_result::malformed:
        break;
    }
    return "malformed";
}

/// One TCP channel, used by one thread at a time.
class channel {
public:
    explicit channel(int fd) : m_fd(fd) {
        const int on = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~channel() { close(); }
    channel(const channel&) = delete;
    channel& operator=(const channel&) = delete;

    static std::unique_ptr<channel> connect(const std::string& ip, int port, int receive_buffer = 0) {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (receive_buffer > 0) {
            ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
        }
        const auto address = address_of(ip, port);
        if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
            ::close(fd);
            return nullptr;
        }
        return std::make_unique<channel>(fd);
    }

    void close() {
        if (m_fd >= 0) {
            ::close(m_fd);
            m_fd = -1;
        }
    }
    /// Closes with a reset.
    void reset() {
        const linger at_once{1, 0};
        ::setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
        close();
    }

    bool send(const std::string& bytes) {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const auto count = ::send(m_fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }

    /// Reads once, at most `most` bytes, into the buffer.
    read_result fill(clock_type::time_point until, std::size_t most = 65536) {
        const auto left = std::chrono::duration_cast<milliseconds>(until - clock_type::now()).count();
        pollfd watched{m_fd, POLLIN, 0};
        if (left < 0 || ::poll(&watched, 1, static_cast<int>(left) + 1) <= 0) {
            return read_result::timed_out;
        }
        std::string piece(most, '\0');
        const auto count = ::recv(m_fd, piece.data(), piece.size(), 0);
        if (count < 0) {
            m_error = errno;
            return read_result::reset;
        }
        if (count == 0) {
            return read_result::closed;
        }
        m_buffer.append(piece, 0, static_cast<std::size_t>(count));
        return read_result::complete;
    }

    /// Whether bytes or an end have arrived.
    [[nodiscard]] bool has_input() const {
        pollfd watched{m_fd, POLLIN, 0};
        return !m_buffer.empty() || ::poll(&watched, 1, 0) > 0;
    }

    /// Reads one message. A response without a length and without chunks ends with its channel.
    read_result read(message& into, milliseconds limit, bool is_response) {
        const auto until = clock_type::now() + limit;
        into = {};
        std::size_t end = 0;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (const auto got = fill(until); got != read_result::complete) {
                return got;
            }
        }
        parse_head(m_buffer.substr(0, end), into);
        m_buffer.erase(0, end + 4);
        if (into.field("Transfer-Encoding") == "chunked") {
            return read_chunks(into, until);
        }
        if (into.has("Content-Length")) {
            const auto size = static_cast<std::size_t>(std::atoll(into.field("Content-Length").c_str()));
            while (m_buffer.size() < size) {
                if (const auto got = fill(until); got != read_result::complete) {
                    into.body = m_buffer;
                    return got;
                }
            }
            into.body = m_buffer.substr(0, size);
            m_buffer.erase(0, size);
            return read_result::complete;
        }
        if (!is_response) {
            return read_result::complete;
        }
        for (;;) {
            const auto got = fill(until);
            if (got != read_result::complete) {
                into.body = std::exchange(m_buffer, {});
                return got == read_result::closed ? read_result::complete : got;
            }
        }
    }

    [[nodiscard]] int fd() const { return m_fd; }
    [[nodiscard]] int error() const { return m_error; }
    std::string& buffer() { return m_buffer; }

private:
    static void parse_head(const std::string& head, message& into) {
        std::size_t begin = 0;
        bool is_first = true;
        while (begin <= head.size()) {
            auto end = head.find("\r\n", begin);
            end = end == std::string::npos ? head.size() : end;
            const auto line = head.substr(begin, end - begin);
            begin = end + 2;
            if (std::exchange(is_first, false)) {
                into.start = line;
                continue;
            }
            const auto colon = line.find(':');
            if (colon != std::string::npos) {
                const auto value = line.find_first_not_of(' ', colon + 1);
                into.fields.emplace_back(line.substr(0, colon),
                                         value == std::string::npos ? "" : line.substr(value));
            }
        }
    }

    read_result read_chunks(message& into, clock_type::time_point until) {
        for (;;) {
            std::size_t line = 0;
            while ((line = m_buffer.find("\r\n")) == std::string::npos) {
                if (const auto got = fill(until); got != read_result::complete) {
                    return got;
                }
            }
            const auto size = std::strtoul(m_buffer.c_str(), nullptr, 16);
            while (m_buffer.size() < line + 2 + size + 2) {
                if (const auto got = fill(until); got != read_result::complete) {
                    return got;
                }
            }
            into.body += m_buffer.substr(line + 2, size);
            m_buffer.erase(0, line + 2 + size + 2);
            if (size == 0) {
                return read_result::complete;
            }
        }
    }

    int m_fd;
    int m_error = 0;
    std::string m_buffer;
};

/// Accepts channels and serves each in a thread of its own.
class listener {
public:
    listener(const std::string& ip, int port, std::function<void(channel&)> serve)
        : m_ip(ip), m_port(port), m_fd(listen_on(ip, m_port)), m_serve(std::move(serve)) {
        std::thread([this] { run(); }).detach();
    }
    [[nodiscard]] int port() const { return m_port; }
    [[nodiscard]] std::string address() const { return m_ip + ":" + std::to_string(m_port); }

private:
    void run() {
        for (;;) {
            const int fd = ::accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                continue;
            }
            std::thread([this, fd] {
                channel accepted(fd);
                m_serve(accepted);
            }).detach();
        }
    }

    std::string m_ip;
    int m_port;
    int m_fd;
    std::function<void(channel&)> m_serve;
};

// Garble.

/// Decides which answers of one replica are followed by additional bytes: x of those that it gives in spans
/// of `for_s`, and never more than x of them.
class garbling {
public:
    explicit garbling(bool is_on) : m_is_on(is_on) {}

    bool must_spoil() {
        const std::lock_guard lock(m_mutex);
        const double since = std::chrono::duration<double>(clock_type::now() - m_begin).count();
        if (!m_is_on || std::fmod(since, length_s + gap_s) >= length_s) {
            return false;
        }
        ++m_answers;
        const bool is_within = m_spoiled + 1 <= part * m_answers;
        if (!is_within || std::uniform_real_distribution<double>(0, 1)(m_random) >= drawn_part) {
            return false;
        }
        ++m_spoiled;
        return true;
    }
    [[nodiscard]] unsigned answers() const { return m_answers; }
    [[nodiscard]] unsigned spoiled() const { return m_spoiled; }

private:
    static constexpr double length_s = 5.0; ///< for_s of the site's entry
    static constexpr double gap_s = 1.0;
    static constexpr double part = 0.03; ///< x of the site's entry: the bound
    static constexpr double drawn_part = 0.03;

    bool m_is_on;
    clock_type::time_point m_begin = clock_type::now();
    std::mutex m_mutex;
    std::mt19937 m_random{std::random_device{}()};
    unsigned m_answers = 0;
    unsigned m_spoiled = 0;
};

// The store.

inline std::string encode_base64(const std::string& bytes) {
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string result;
    for (std::size_t index = 0; index < bytes.size(); index += 3) {
        const auto left = std::min<std::size_t>(3, bytes.size() - index);
        std::uint32_t group = 0;
        for (std::size_t each = 0; each < 3; ++each) {
            group = group << 8U | (each < left ? static_cast<unsigned char>(bytes[index + each]) : 0U);
        }
        for (std::size_t each = 0; each < 4; ++each) {
            result += each <= left ? digits[group >> (18 - 6 * each) & 63U] : '=';
        }
    }
    return result;
}

inline std::string decode_percent(const std::string& text) {
    std::string result;
    for (std::size_t index = 0; index < text.size(); ++index) {
        if (text[index] == '%' && index + 2 < text.size()) {
            result += static_cast<char>(std::strtol(text.substr(index + 1, 2).c_str(), nullptr, 16));
            index += 2;
        } else {
            result += text[index];
        }
    }
    return result;
}

inline std::map<std::string, std::string> parse_query(const std::string& target) {
    std::map<std::string, std::string> result;
    const auto mark = target.find('?');
    std::stringstream rest(mark == std::string::npos ? "" : target.substr(mark + 1));
    for (std::string pair; std::getline(rest, pair, '&');) {
        const auto equals = pair.find('=');
        result[pair.substr(0, equals)] =
            equals == std::string::npos ? "" : decode_percent(pair.substr(equals + 1));
    }
    return result;
}

/// The platform's store, as far as gateways use it: rows-get, rows-feed and rows-tx, with an empty part.
class store {
public:
    explicit store(const std::string& ip) : m_listener(ip, 0, [this](channel& from) { serve(from); }) {}

    [[nodiscard]] std::string address() const { return m_listener.address(); }

    void put(const std::string& table, const std::string& key, const std::string& value) {
        const std::lock_guard lock(m_mutex);
        put_encoded(table, key, encode_base64(value));
    }
    void remove(const std::string& table, const std::string& key) {
        const std::lock_guard lock(m_mutex);
        m_rows[{table, key}] = {"", ++m_version, true};
        m_changed.notify_all();
    }

private:
    struct row {
        std::string value; ///< in base64
        std::uint64_t version = 0;
        bool is_removed = false;
    };

    void put_encoded(const std::string& table, const std::string& key, const std::string& value) {
        m_rows[{table, key}] = {value, ++m_version, false};
        m_changed.notify_all();
    }

    void serve(channel& from) {
        message request;
        while (from.read(request, milliseconds(60000), false) == read_result::complete) {
            std::this_thread::sleep_for(milliseconds(4)); // the sheet's time of an answer
            std::string status = "200 OK";
            const auto body = answer(request, status);
            if (!from.send("HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\nContent-Length: " +
                           std::to_string(body.size()) + "\r\n\r\n" + body)) {
                return;
            }
        }
    }

    std::string answer(const message& request, std::string& status) {
        std::stringstream line(request.start);
        std::string method;
        std::string target;
        line >> method >> target;
        const auto query = parse_query(target);
        const auto path = target.substr(0, target.find('?'));
        std::unique_lock lock(m_mutex);
        if (path == "/borageford/rows-get") {
            return list(query.at("table"), 0, false, query);
        }
        if (path == "/borageford/rows-feed") {
            const auto after = std::stoull(query.at("after"));
            const auto wait = query.contains("wait_ms") ? std::stoll(query.at("wait_ms")) : 0;
            m_changed.wait_for(lock, milliseconds(wait), [&] { return has_news(query.at("table"), after); });
            return list(query.at("table"), after, true, query);
        }
        if (path == "/borageford/rows-tx") {
            return transact(request.body, status);
        }
        status = "404 Not Found";
        return {};
    }

    bool has_news(const std::string& table, std::uint64_t after) const {
        return std::any_of(m_rows.begin(), m_rows.end(), [&](const auto& entry) {
            return entry.first.first == table && entry.second.version > after;
        });
    }

    std::string list(const std::string& table, std::uint64_t after, bool is_feed,
                     const std::map<std::string, std::string>& query) const {
        std::vector<std::pair<std::string, row>> found;
        for (const auto& [name, each] : m_rows) {
            const bool is_in_range = (!query.contains("from") || name.second >= query.at("from")) &&
                                     (!query.contains("to") || name.second < query.at("to"));
            if (name.first == table && is_in_range && each.version > after && (is_feed || !each.is_removed)) {
                found.emplace_back(name.second, each);
            }
        }
        if (is_feed) {
            std::sort(found.begin(), found.end(), [](const auto& left, const auto& right) {
                return left.second.version < right.second.version;
            });
        }
        std::string rows;
        for (const auto& [key, each] : found) {
            rows += std::string(rows.empty() ? "" : ",") + "{\"table\":\"" + table +
                    "\",\"part\":\"\",\"key\":\"" + key + "\",\"value\":\"" + each.value +
                    "\",\"ver\":" + std::to_string(each.version) +
                    (each.is_removed ? ",\"removed\":true}" : "}");
        }
        const auto now = static_cast<std::uint64_t>(seconds_since_begin() * 1000) + 1000;
        return "{\"rows\":[" + rows + "],\"ver\":" + std::to_string(m_version) +
               ",\"now_ms\":" + std::to_string(now) + ",\"truncated\":false}";
    }

    /// The value of a member of a flat JSON object of texts and numbers.
    static std::string member(const std::string& object, const std::string& name) {
        const auto at = object.find("\"" + name + "\":");
        if (at == std::string::npos) {
            return {};
        }
        auto begin = at + name.size() + 3;
        const bool is_text = object[begin] == '"';
        begin += is_text ? 1 : 0;
        return object.substr(begin, object.find_first_of(is_text ? "\"" : ",}", begin) - begin);
    }
    static std::vector<std::string> objects(const std::string& body, const std::string& list) {
        std::vector<std::string> result;
        auto at = body.find("\"" + list + "\":[");
        const auto end = at == std::string::npos ? at : body.find(']', at);
        while (at != std::string::npos && (at = body.find('{', at)) != std::string::npos && at < end) {
            const auto close = body.find('}', at);
            result.push_back(body.substr(at, close - at + 1));
            at = close;
        }
        return result;
    }

    std::string transact(const std::string& body, std::string& status) {
        for (const auto& each : objects(body, "expected")) {
            const auto found = m_rows.find({member(each, "table"), member(each, "key")});
            const auto current =
                found == m_rows.end() || found->second.is_removed ? 0 : found->second.version;
            if (current != std::stoull("0" + member(each, "ver"))) {
                status = "412 Precondition Failed";
                return "{\"rows\":[]}"; // the gateway then reads the row again
            }
        }
        for (const auto& each : objects(body, "puts")) {
            put_encoded(member(each, "table"), member(each, "key"), member(each, "value"));
        }
        return "{\"ver\":" + std::to_string(m_version) + "}";
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::pair<std::string, std::string>, row> m_rows;
    std::uint64_t m_version = 1;
    listener m_listener;
};

/// Keeps the registration of a replica in the store, as a live replica does.
class registration {
public:
    registration(store& where, std::string id, std::string fields)
        : m_store(where), m_id(std::move(id)), m_fields(std::move(fields)) {
        write();
        std::thread([this] {
            for (;;) {
                std::this_thread::sleep_for(milliseconds(1200));
                write();
            }
        }).detach();
    }
    void set(const std::string& fields) {
        {
            const std::lock_guard lock(m_mutex);
            m_fields = fields;
        }
        write();
    }

private:
    void write() {
        const std::lock_guard lock(m_mutex);
        m_store.put("servers", m_id, "{" + m_fields + ",\"sequence\":" + std::to_string(++m_sequence) + "}");
    }
    std::mutex m_mutex;
    store& m_store;
    std::string m_id;
    std::string m_fields;
    unsigned m_sequence = 0;
};

inline std::string registration_fields(const std::string& service, const std::string& address,
                                       const std::string& zone, unsigned slots, const std::string& version,
                                       const std::string& state = "ready") {
    return "\"service\":\"" + service + "\",\"address\":\"" + address + "\",\"zone\":\"" + zone +
           "\",\"version\":\"" + version + "\",\"slots\":" + std::to_string(slots) + ",\"state\":\"" + state +
           "\",\"cold_remaining_ms\":0,\"born\":1796379600000";
}

// The gateway.

/// Fills in the placeholders of the deploy file's template that a deployment of one region needs.
inline std::string fill_template(std::string text, const std::map<std::string, std::string>& values) {
    for (const auto& [name, value] : values) {
        const auto mark = "{{" + name + "}}";
        for (auto at = text.find(mark); at != std::string::npos; at = text.find(mark, at + value.size())) {
            text.replace(at, mark.size(), value);
        }
    }
    return text;
}

struct gateway_place {
    std::string ip;
    std::string folder; ///< for its settings and its log
    std::string store_address;
    std::string seeds;
    int memory_mb = 110;
    bool is_first_start = true;
};

/// A gateway process, started with the command of the deploy file (role `gateway`).
class gateway {
public:
    explicit gateway(gateway_place place) : m_place(std::move(place)) { start(); }
    ~gateway() { end(SIGKILL); }
    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;

    /// The platform's settings file changes; the process gets no signal.
    void change_seeds(const std::string& seeds) {
        m_place.seeds = seeds;
        write_settings();
    }

    std::string write_settings() const {
        std::ifstream file("deploy/gateway.ini");
        std::stringstream text;
        text << file.rdbuf();
        const auto settings = m_place.folder + "/settings-" + m_place.ip + ".toml";
        std::ofstream(settings) << fill_template(
            text.str(), {{"#bootstrap}}yes{{/bootstrap}}{{^bootstrap}}no{{/bootstrap",
                          m_place.is_first_start ? "yes" : "no"},
                         {"node", "edge-" + m_place.ip},
                         {"zone", "zone-a"},
                         {"region", "region-a"},
                         {"platform.address", m_place.store_address},
                         {"listen.front", m_place.ip + ":8221"},
                         {"listen.ready", m_place.ip + ":8224"},
                         {"ip", m_place.ip},
                         {"internal_ports.0", "7600"},
                         {"seeds", m_place.seeds},
                         {"limits.cpu_share", "0.19"},
                         {"limits.memory_mb", std::to_string(m_place.memory_mb)},
                         {"bounds.grace_s", "8"},
                         {"bounds.retry_budget_ratio", "0.2"},
                         {"bounds.budget_slack", "52"},
                         {"bounds.budget_window_s", "10"},
                         {"bounds.quota_window_s", "8"},
                         {"bounds.quota_slack", "110000"},
                         {"bounds.config_apply_ms", "2000"},
                         {"bounds.drain_ms", "2000"},
                         {"heartbeat_ms", "1200"}});
        return settings;
    }

    void start() {
        const auto settings = write_settings();
        const auto log = m_place.folder + "/gateway-" + m_place.ip + ".log";
        m_pid = ::fork();
        if (m_pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL); // ends with the script, however that ends
            const int out = ::open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
            ::dup2(out, 1);
            ::dup2(out, 2);
            const auto argument = "--settings=" + settings;
            ::execl("target/bin/borageford", "target/bin/borageford", "gateway", argument.c_str(),
                    static_cast<char*>(nullptr));
            ::_exit(127);
        }
    }

    [[nodiscard]] pid_t pid() const { return m_pid; }
    void signal(int number) const { ::kill(m_pid, number); }
    /// Whether the process has ended by itself; `how` is its wait status.
    [[nodiscard]] bool has_ended(int& how) {
        if (m_pid > 0 && ::waitpid(m_pid, &how, WNOHANG) == m_pid) {
            m_pid = -1;
        }
        return m_pid < 0;
    }
    void end(int number) {
        if (m_pid > 0) {
            ::kill(m_pid, SIGCONT);
            ::kill(m_pid, number);
            ::waitpid(m_pid, nullptr, 0);
            m_pid = -1;
        }
    }

    [[nodiscard]] const std::string& ip() const { return m_place.ip; }
    [[nodiscard]] std::unique_ptr<channel> connect(int receive_buffer = 0) const {
        return channel::connect(m_place.ip, 8221, receive_buffer);
    }
    [[nodiscard]] bool is_ready() const {
        const auto probe = channel::connect(m_place.ip, 8224);
        message answer;
        return probe != nullptr && probe->send("GET /borageford/readyz HTTP/1.1\r\nHost: ready\r\n\r\n") &&
               probe->read(answer, milliseconds(1000), true) == read_result::complete &&
               answer.status() == 200;
    }
    [[nodiscard]] bool wait_until_ready() const {
        const auto until = clock_type::now() + std::chrono::seconds(15);
        while (clock_type::now() < until) {
            if (is_ready()) {
                return true;
            }
            std::this_thread::sleep_for(milliseconds(100));
        }
        return false;
    }

private:
    gateway_place m_place;
    pid_t m_pid = -1;
};

/// A loopback address on which no port of a gateway is taken.
inline std::string free_loopback_address() {
    std::random_device source;
    for (;;) {
        const auto ip = "127." + std::to_string(20 + source() % 200) + "." + std::to_string(source() % 250) +
                        "." + std::to_string(2 + source() % 250);
        bool is_free = true;
        for (const int port : {8221, 8224, 7600, 9464}) {
            const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            const auto address = address_of(ip, port);
            is_free = is_free && ::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
            ::close(fd);
        }
        if (is_free) {
            return ip;
        }
    }
}

inline std::string temporary_folder() {
    auto name = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (::mkdtemp(name.data()) == nullptr) {
        std::exit(could_not_run);
    }
    return name;
}

/// Ends the script without waiting for its threads.
[[noreturn]] inline void finish(int code, const std::string& folder) {
    std::error_code ignored;
    std::filesystem::remove_all(folder, ignored);
    std::fflush(stdout);
    std::_Exit(code);
}

inline std::string hexadecimal_id(std::uint64_t number) {
    char text[20];
    std::snprintf(text, sizeof text, "%016llx",
                  static_cast<unsigned long long>(number * 0x9E3779B97F4A7C15ULL ^ 0x5bd1e995ULL));
    return text;
}

} // namespace review
