// What the scripts of review 2 share: a store, replicas and clients as the users' pages describe them, on loopback
// addresses, and the start of the project's own gateway as a separate process.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline std::int64_t now_ms() {
    return std::chrono::duration_cast<milliseconds>(clock::now().time_since_epoch()).count();
}
inline void sleep_ms(std::int64_t span) { std::this_thread::sleep_for(milliseconds(span)); }

/// What was sent, answered and run. Lines of other processes are appended to the same file.
class recorder {
public:
    explicit recorder(std::string path, std::int64_t begin) : m_path(std::move(path)), m_begin(begin) {}
    void write(const std::string& text) {
        const std::lock_guard lock(m_mutex);
        char time[32];
        std::snprintf(time, sizeof time, "%8.3f  ", static_cast<double>(now_ms() - m_begin) / 1000);
        const auto line = time + text + "\n";
        const int file = ::open(m_path.c_str(), O_WRONLY | O_APPEND | O_CREAT, 0644);
        if (file >= 0) {
            static_cast<void>(!::write(file, line.data(), line.size()));
            ::close(file);
        }
    }
    [[nodiscard]] std::int64_t begin() const { return m_begin; }

private:
    std::mutex m_mutex;
    std::string m_path;
    std::int64_t m_begin;
};

// Sockets.

struct address {
    std::string ip = "127.0.0.1";
    std::uint16_t port = 0;
    [[nodiscard]] std::string text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in to_sockaddr(const address& from) {
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(from.port);
    ::inet_pton(AF_INET, from.ip.c_str(), &result.sin_addr);
    return result;
}

/// Listens there; port 0 lets the kernel choose, and `at` gets the port.
inline int listen_at(address& at) {
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto name = to_sockaddr(at);
    if (::bind(socket, reinterpret_cast<sockaddr*>(&name), sizeof name) != 0 || ::listen(socket, 512) != 0) {
        ::close(socket);
        throw std::runtime_error("cannot listen at " + at.text());
    }
    socklen_t size = sizeof name;
    ::getsockname(socket, reinterpret_cast<sockaddr*>(&name), &size);
    at.port = ntohs(name.sin_port);
    return socket;
}

/// A port that is free for TCP and UDP at all of these addresses.
inline std::uint16_t free_port(const std::vector<std::string>& ips) {
    for (int attempt = 0; attempt < 200; ++attempt) {
        address first{ips.front(), 0};
        std::vector<int> open{listen_at(first)};
        bool is_free = true;
        for (const auto& ip : ips) {
            for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
                if (type == SOCK_STREAM && ip == ips.front()) {
                    continue;
                }
                const int socket = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
                auto name = to_sockaddr({ip, first.port});
                is_free = is_free && ::bind(socket, reinterpret_cast<sockaddr*>(&name), sizeof name) == 0;
                open.push_back(socket);
            }
        }
        for (const int socket : open) {
            ::close(socket);
        }
        if (is_free) {
            return first.port;
        }
    }
    throw std::runtime_error("no free port");
}

inline int connect_to(const address& to) {
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto name = to_sockaddr(to);
    if (::connect(socket, reinterpret_cast<sockaddr*>(&name), sizeof name) != 0) {
        ::close(socket);
        return -1;
    }
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return socket;
}

inline bool send_all(int socket, const std::string& bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto count = ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

/// Whether the peer has closed the connection or reset it.
inline bool has_peer_closed(int socket) {
    pollfd watched{socket, POLLRDHUP, 0};
    return ::poll(&watched, 1, 0) > 0 && (watched.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

// HTTP.

struct message {
    std::string first; ///< request line or status line
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    [[nodiscard]] std::string field(const std::string& name) const {
        for (const auto& [known, value] : fields) {
            if (::strcasecmp(known.c_str(), name.c_str()) == 0) {
                return value;
            }
        }
        return {};
    }
    [[nodiscard]] std::string target() const {
        const auto begin = first.find(' ') + 1;
        return first.substr(begin, first.find(' ', begin) - begin);
    }
    [[nodiscard]] std::string method() const { return first.substr(0, first.find(' ')); }
};

enum class read_end { data, closed, reset, timeout };

class reader {
public:
    explicit reader(int socket) : m_socket(socket) {}
    read_end fill(std::int64_t until) {
        pollfd watched{m_socket, POLLIN, 0};
        const auto left = std::max<std::int64_t>(0, until - now_ms());
        if (::poll(&watched, 1, static_cast<int>(left)) <= 0) {
            return read_end::timeout;
        }
        char bytes[16384];
        const auto count = ::recv(m_socket, bytes, sizeof bytes, 0);
        if (count > 0) {
            m_bytes.append(bytes, static_cast<std::size_t>(count));
            return read_end::data;
        }
        return count == 0 ? read_end::closed : read_end::reset;
    }
    [[nodiscard]] std::string& bytes() { return m_bytes; }

    /// Reads a head; nothing if the connection ends or the time is over before it is complete.
    std::optional<message> read_head(std::int64_t until, read_end& how) {
        std::size_t end = 0;
        while ((end = m_bytes.find("\r\n\r\n")) == std::string::npos) {
            how = fill(until);
            if (how != read_end::data) {
                return std::nullopt;
            }
        }
        message result;
        std::istringstream lines(m_bytes.substr(0, end));
        m_bytes.erase(0, end + 4);
        std::string line;
        while (std::getline(lines, line)) {
            if (!line.empty() && line.back() == '\r') {
                line.pop_back();
            }
            const auto colon = line.find(':');
            if (result.first.empty()) {
                result.first = line;
            } else if (colon != std::string::npos) {
                const auto begin = line.find_first_not_of(' ', colon + 1);
                result.fields.emplace_back(line.substr(0, colon),
                                           begin == std::string::npos ? "" : line.substr(begin));
            }
        }
        return result;
    }
    bool read_exactly(std::size_t count, std::string& to, std::int64_t until, read_end& how) {
        while (m_bytes.size() < count) {
            how = fill(until);
            if (how != read_end::data) {
                return false;
            }
        }
        to.append(m_bytes, 0, count);
        m_bytes.erase(0, count);
        return true;
    }

private:
    int m_socket;
    std::string m_bytes;
};

inline std::optional<message> read_request(reader& from, std::int64_t until) {
    read_end how{};
    auto result = from.read_head(until, how);
    if (result.has_value()) {
        const auto length = result->field("Content-Length");
        if (!length.empty() && !from.read_exactly(std::stoul(length), result->body, until, how)) {
            return std::nullopt;
        }
    }
    return result;
}

/// What a client saw of one attempt.
struct attempt {
    int status = 0; ///< 0: no answer
    message head;
    std::string body;
    bool is_complete = false; ///< ended as its framing says
    read_end how = read_end::timeout;
};

/// Sends the request on a new connection and reads the answer.
inline attempt call(const address& to, const std::string& request, std::int64_t limit_ms,
                    const std::function<void(attempt&)>& on_progress = {}) {
    attempt result;
    const int socket = connect_to(to);
    if (socket < 0) {
        result.how = read_end::reset;
        return result;
    }
    const auto until = now_ms() + limit_ms;
    if (send_all(socket, request)) {
        reader from(socket);
        if (auto head = from.read_head(until, result.how)) {
            result.head = *head;
            result.status = std::atoi(head->first.c_str() + head->first.find(' ') + 1);
            const auto length = head->field("Content-Length");
            if (::strcasecmp(head->field("Transfer-Encoding").c_str(), "chunked") == 0) {
                for (;;) {
                    std::size_t end = 0;
                    while ((end = from.bytes().find("\r\n")) == std::string::npos) {
                        result.how = from.fill(until);
                        if (result.how != read_end::data) {
                            break;
                        }
                    }
                    if (end == std::string::npos) {
                        break;
                    }
                    const auto size = std::stoul(from.bytes().substr(0, end), nullptr, 16);
                    from.bytes().erase(0, end + 2);
                    std::string chunk;
                    if (!from.read_exactly(size + 2, chunk, until, result.how)) {
                        break;
                    }
                    result.body.append(chunk, 0, size);
                    if (on_progress) {
                        on_progress(result);
                    }
                    if (size == 0) {
                        result.is_complete = true;
                        break;
                    }
                }
            } else if (!length.empty()) {
                result.is_complete = from.read_exactly(std::stoul(length), result.body, until, result.how);
            } else {
                while ((result.how = from.fill(until)) == read_end::data) {
                }
                result.body = from.bytes();
                result.is_complete = result.how == read_end::closed;
            }
        }
    }
    ::close(socket);
    return result;
}

/// Serves connections, one thread each, until the process ends. A handler returns whether to keep the connection.
inline void serve(int listener, std::function<bool(int, reader&, const message&)> handle) {
    std::thread([listener, handle = std::move(handle)] {
        for (;;) {
            const int socket = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket < 0) {
                return;
            }
            const int on = 1;
            ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread([socket, handle] {
                reader from(socket);
                for (;;) {
                    const auto request = read_request(from, now_ms() + 600'000);
                    if (!request.has_value() || !handle(socket, from, *request)) {
                        break;
                    }
                }
                ::close(socket);
            }).detach();
        }
    }).detach();
}

// The platform's store, as PROTOCOL.md describes its table.

inline std::string to_base64(const std::string& bytes) {
    static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string result;
    for (std::size_t index = 0; index < bytes.size(); index += 3) {
        std::uint32_t group = 0;
        for (std::size_t offset = 0; offset < 3; ++offset) {
            group = group << 8 | (index + offset < bytes.size() ? static_cast<unsigned char>(bytes[index + offset]) : 0);
        }
        for (std::size_t digit = 0; digit < 4; ++digit) {
            const bool is_padding = index + digit > bytes.size();
            result.push_back(is_padding ? '=' : digits[group >> (18 - 6 * digit) & 63]);
        }
    }
    return result;
}

/// A field of a flat JSON object, as text; only for the bodies that gateways send to the store.
inline std::string json_field(const std::string& object, const std::string& name) {
    const auto key = "\"" + name + "\":";
    auto begin = object.find(key);
    if (begin == std::string::npos) {
        return {};
    }
    begin += key.size();
    if (object[begin] == '"') {
        return object.substr(begin + 1, object.find('"', begin + 1) - begin - 1);
    }
    return object.substr(begin, object.find_first_of(",}]", begin) - begin);
}

/// The objects of the array with this name.
inline std::vector<std::string> json_objects(const std::string& text, const std::string& name) {
    std::vector<std::string> result;
    auto at = text.find("\"" + name + "\":[");
    if (at == std::string::npos) {
        return result;
    }
    const auto end = text.find(']', at);
    for (at = text.find('{', at); at < end; at = text.find('{', at + 1)) {
        result.push_back(text.substr(at, text.find('}', at) - at + 1));
    }
    return result;
}

inline std::string decode_query(const std::string& target, const std::string& name) {
    const auto key = name + "=";
    auto at = target.find('?');
    while (at != std::string::npos) {
        const auto next = target.find('&', at + 1);
        const auto part = target.substr(at + 1, next == std::string::npos ? next : next - at - 1);
        if (part.rfind(key, 0) == 0) {
            std::string result;
            for (auto index = key.size(); index < part.size(); ++index) {
                if (part[index] == '%') {
                    result.push_back(static_cast<char>(std::stoi(part.substr(index + 1, 2), nullptr, 16)));
                    index += 2;
                } else {
                    result.push_back(part[index]);
                }
            }
            return result;
        }
        at = next;
    }
    return {};
}

/// Its threads use it until the process ends, so it is never destroyed.
class store {
public:
    store() {
        serve(listen_at(m_at),
              [this](int socket, reader&, const message& request) { return handle(socket, request); });
    }
    [[nodiscard]] const address& at() const { return m_at; }

    void put(const std::string& table, const std::string& key, const std::string& value) {
        write(table, key, to_base64(value), false);
    }
    void remove(const std::string& table, const std::string& key) { write(table, key, "", true); }
    /// From now on every call gets 503, also those that are open: nothing was done.
    void set_busy(bool is_busy) {
        const std::lock_guard lock(m_mutex);
        m_is_busy = is_busy;
        m_changed.notify_all();
    }

private:
    struct row {
        std::string value; ///< base64
        std::uint64_t version = 0;
        bool is_removed = false;
    };
    using name = std::pair<std::string, std::string>;

    void write(const std::string& table, const std::string& key, const std::string& value, bool is_removed) {
        const std::lock_guard lock(m_mutex);
        m_rows[{table, key}] = {value, ++m_version, is_removed};
        m_changed.notify_all();
    }
    [[nodiscard]] std::string end_of_answer() const {
        return "],\"ver\":" + std::to_string(m_version) + ",\"now_ms\":" + std::to_string(now_ms());
    }
    static std::string encode(const name& key, const row& from) {
        return "{\"table\":\"" + key.first + "\",\"part\":\"\",\"key\":\"" + key.second + "\",\"value\":\"" +
               from.value + "\",\"ver\":" + std::to_string(from.version) +
               (from.is_removed ? ",\"removed\":true}" : "}");
    }
    static bool answer(int socket, int status, const std::string& body) {
        return send_all(socket, "HTTP/1.1 " + std::to_string(status) +
                                    " Answer\r\nContent-Type: application/json\r\nContent-Length: " +
                                    std::to_string(body.size()) + "\r\n\r\n" + body);
    }
    bool handle(int socket, const message& request) {
        sleep_ms(4);
        std::unique_lock lock(m_mutex);
        const auto target = request.target();
        const auto path = target.substr(0, target.find('?'));
        std::string body;
        int status = 200;
        if (path == "/borageford/rows-get") {
            const auto table = decode_query(target, "table");
            const auto from = decode_query(target, "from");
            const auto to = decode_query(target, "to");
            for (const auto& [key, value] : m_rows) {
                const bool is_in = key.first == table && key.second >= from && (to.empty() || key.second < to);
                if (is_in && !value.is_removed) {
                    body += (body.empty() ? "" : ",") + encode(key, value);
                }
            }
            body = "{\"rows\":[" + body + end_of_answer() + ",\"truncated\":false}";
        } else if (path == "/borageford/rows-feed") {
            const auto table = decode_query(target, "table");
            const auto after = std::stoull(decode_query(target, "after"));
            const auto until = clock::now() + milliseconds(std::stoll(decode_query(target, "wait_ms")));
            const auto changes = [&] {
                std::vector<std::pair<name, row>> result;
                for (const auto& [key, value] : m_rows) {
                    if (key.first == table && value.version > after) {
                        result.emplace_back(key, value);
                    }
                }
                return result;
            };
            m_changed.wait_until(lock, until, [&] { return m_is_busy || !changes().empty(); });
            auto found = changes();
            std::sort(found.begin(), found.end(),
                      [](const auto& a, const auto& b) { return a.second.version < b.second.version; });
            for (const auto& [key, value] : found) {
                body += (body.empty() ? "" : ",") + encode(key, value);
            }
            body = "{\"rows\":[" + body + end_of_answer() + "}";
        } else if (path == "/borageford/rows-tx") {
            if (!m_is_busy) {
                status = transact(request.body, body);
            }
        } else {
            status = 404;
            body = "{}";
        }
        if (m_is_busy) {
            status = 503;
            body = "{}";
        }
        lock.unlock();
        return answer(socket, status, body);
    }
    int transact(const std::string& text, std::string& body) {
        bool holds = true;
        std::string current;
        for (const auto& entry : json_objects(text, "expected")) {
            const name key{json_field(entry, "table"), json_field(entry, "key")};
            const auto found = m_rows.find(key);
            const bool is_there = found != m_rows.end() && !found->second.is_removed;
            holds = holds && (is_there ? found->second.version : 0) == std::stoull(json_field(entry, "ver"));
            if (is_there) {
                current += (current.empty() ? "" : ",") + encode(key, found->second);
            }
        }
        if (!holds) {
            body = "{\"rows\":[" + current + end_of_answer() + "}";
            return 412;
        }
        ++m_version;
        for (const auto& entry : json_objects(text, "puts")) {
            m_rows[{json_field(entry, "table"), json_field(entry, "key")}] = {json_field(entry, "value"), m_version,
                                                                             false};
        }
        for (const auto& entry : json_objects(text, "remove")) {
            m_rows[{json_field(entry, "table"), json_field(entry, "key")}] = {"", m_version, true};
        }
        m_changed.notify_all();
        body = "{\"ver\":" + std::to_string(m_version) + ",\"now_ms\":" + std::to_string(now_ms()) + "}";
        return 200;
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<name, row> m_rows;
    std::uint64_t m_version = 100;
    bool m_is_busy = false;
    address m_at;
};

// Processes.

/// A separate process, which is ended with this object.
class process {
public:
    process(const std::vector<std::string>& words, const std::string& output) {
        m_id = ::fork();
        if (m_id == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL); // it never outlives the script
            const int file = ::open(output.c_str(), O_WRONLY | O_APPEND | O_CREAT, 0644);
            ::dup2(file, 1);
            ::dup2(file, 2);
            std::vector<char*> pointers;
            for (const auto& word : words) {
                pointers.push_back(const_cast<char*>(word.c_str()));
            }
            pointers.push_back(nullptr);
            ::execv(pointers.front(), pointers.data());
            ::_exit(127);
        }
    }
    ~process() { end(SIGKILL); }
    process(const process&) = delete;
    process& operator=(const process&) = delete;
    void send(int signal) const {
        if (m_id > 0) {
            ::kill(m_id, signal);
        }
    }
    void end(int signal) {
        if (m_id > 0) {
            ::kill(m_id, signal);
            ::waitpid(m_id, nullptr, 0);
            m_id = -1;
        }
    }

private:
    pid_t m_id = -1;
};

/// A gateway as the deploy file starts it, with the settings that its template gives a small machine.
class gateway {
public:
    struct options {
        std::string name = "edge-a-1";
        std::string ip = "127.0.0.1";
        std::uint16_t internal_port = 0;
        std::vector<std::string> seeds;
        bool is_first_start = true;
    };
    gateway(std::string folder, const address& store, options how)
        : m_folder(std::move(folder)), m_options(std::move(how)) {
        m_callers = {m_options.ip, free_port({m_options.ip})};
        m_ready = {m_options.ip, free_port({m_options.ip})};
        m_store = store;
        start();
    }
    void start() {
        std::string seeds;
        for (const auto& seed : m_options.seeds) {
            seeds += (seeds.empty() ? "" : ",") + seed;
        }
        const auto settings = m_folder + "/" + m_options.name + ".ini";
        std::ofstream(settings) << "[process]\nvm = " << m_options.name
                                << "\nfailure_domain = sala-a\nregion = occidente\nlog_format = json\n\n"
                                << "[platform]\naddress = " << m_store.text() << "\ntimeout = 2s\n\n"
                                << "[gateway]\ncallers_listen = " << m_callers.text()
                                << "\nreadiness_listen = " << m_ready.text() << "\npeers_listen = " << m_options.ip
                                << ":" << m_options.internal_port << "\nmetrics_listen = " << m_options.ip << ":"
                                << free_port({m_options.ip}) << "\nseeds = " << seeds
                                << "\nprocessor_share = 0.19\nmemory_limit = 110MiB\ndescriptor_limit = 4100\n"
                                << "stop_limit = 8s\nfirst_start = " << (m_options.is_first_start ? "yes" : "no")
                                << "\nretry_ratio = 0.2\nretry_reserve = 52\nretry_window = 10s\n"
                                << "allowance_window = 8s\nallowance_slack = 110000\nconfiguration_limit = 2000ms\n"
                                << "drain_limit = 2000ms\nbackend_heartbeat = 1200ms\nreturn_promises = yes\n"
                                << "promised_part = 0\n";
        const char* program = std::getenv("GATEWAY");
        m_process.emplace(std::vector<std::string>{program != nullptr ? program : "target/bin/borageford", "gateway",
                                                   "--settings=" + settings},
                          m_folder + "/" + m_options.name + ".log");
    }
    /// Kills the process and starts it again, as the platform does.
    void restart() {
        m_process.reset();
        m_options.is_first_start = false;
        start();
    }
    [[nodiscard]] bool wait_until_ready(std::int64_t limit_ms) const {
        const auto until = now_ms() + limit_ms;
        while (now_ms() < until) {
            const auto seen = call(m_ready, "GET /borageford/readyz HTTP/1.1\r\nHost: ready\r\n\r\n", 1000);
            if (seen.status == 200) {
                return true;
            }
            sleep_ms(50);
        }
        return false;
    }
    [[nodiscard]] const address& callers() const { return m_callers; }
    [[nodiscard]] process& running() { return *m_process; }

private:
    std::string m_folder;
    options m_options;
    address m_callers;
    address m_ready;
    address m_store;
    std::optional<process> m_process;
};

// The operator's and the replicas' rows.

struct route {
    std::string name;
    std::string prefix;
    std::string type;
    std::string service;
    bool is_resumable = false;
    int attempts = 2;
    int timeout_ms = 15000;
};

inline std::string configuration(int version, const std::vector<std::string>& services,
                                 const std::vector<route>& routes) {
    std::string result = "{\"version\":" + std::to_string(version) + ",\"services\":[";
    for (const auto& service : services) {
        result += (service == services.front() ? "" : ",") + std::string("{\"name\":\"") + service +
                  "\",\"health_path\":\"/healthz\",\"max_connections\":96,\"protocol\":\"h1\",\"tls\":false}";
    }
    result += "],\"routes\":[";
    for (const auto& each : routes) {
        result += (each.name == routes.front().name ? "" : ",") + std::string("{\"name\":\"") + each.name +
                  "\",\"host\":\"site.example\",\"prefix\":\"" + each.prefix + "\",\"type\":\"" + each.type +
                  "\",\"resumable\":" + (each.is_resumable ? "true" : "false") +
                  ",\"public\":true,\"sticky\":false,\"max_attempts\":" + std::to_string(each.attempts) +
                  ",\"timeout_ms\":" + std::to_string(each.timeout_ms) +
                  ",\"target_latency_ms\":500,\"gap_aim_ms\":400,\"priority\":0,\"service\":\"" + each.service + "\"}";
    }
    return result + "],\"tenants\":[],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
                    "\"header_timeout_ms\":5000,\"idle_timeout_ms\":20000}}";
}

struct registration {
    std::string service;
    address at;
    std::string version = "v1";
    int slots = 8;
    std::string state = "ready";
    std::int64_t born = 0;
};

inline std::string encode(const registration& from) {
    return "{\"service\":\"" + from.service + "\",\"address\":\"" + from.at.text() +
           "\",\"zone\":\"sala-a\",\"version\":\"" + from.version + "\",\"slots\":" + std::to_string(from.slots) +
           ",\"state\":\"" + from.state + "\",\"cold_remaining_ms\":0,\"sequence\":1" +
           (from.born > 0 ? ",\"born\":" + std::to_string(from.born) : "") + "}";
}

/// Answers a question about health or state, and 421 to a request for another replica; returns whether it did.
inline bool answer_other(int socket, const message& request, const std::string& id) {
    const auto request_id = request.field("Request-Id");
    const auto echo = request_id.empty() ? std::string() : "Request-Id: " + request_id + "\r\n";
    if (request.target() == "/healthz") {
        return send_all(socket, "HTTP/1.1 200 OK\r\nReplica-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
    }
    const auto expected = request.field("Expect-Replica");
    if (!expected.empty() && expected != id) {
        return send_all(socket, "HTTP/1.1 421 Misdirected Request\r\n" + echo +
                                    "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    }
    return false;
}

} // namespace review
