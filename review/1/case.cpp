// Case 1: a replica's second answer, which arrives late, is taken for the answer to the next attempt of the
// same request, so that the request runs twice. See claim.txt.
#include "../common/standin.hpp"

using namespace review;

namespace {

constexpr unsigned slots = 7;                  // the sheet of borageford-llm: "7 slots"
constexpr unsigned places = 11;                // its slots and "a few more"
constexpr std::chrono::microseconds link{900}; // the sheet: "One way, 0.9 ms between zones"
constexpr milliseconds work{20};               // the sheet's work of a request
constexpr std::chrono::seconds duration{100};
constexpr unsigned callers = 6; // of the gateway; each sends one request after the other
constexpr milliseconds pause_of_callers{60};
constexpr unsigned neighbours = 13; // of the faulty replica; they call it directly, as anyone may
constexpr unsigned neighbours_of_sound = 24;
constexpr double pause_of_neighbours_ms = 10; // on average

/// A sound model replica, but for its second answers: it runs at most `slots` requests at once, queues a few
/// more, and refuses what exceeds that with 503 and Not-Executed.
class replica {
public:
    /// `pause`: what it adds to its refusals (Retry-After); empty: nothing.
    replica(recorder& record, bool is_garbling, std::string pause)
        : m_record(record),
          m_pause(std::move(pause)),
          m_garbling(is_garbling),
          m_listener("127.0.0.1", 0, [this](channel& from) { serve(from); }) {}

    [[nodiscard]] int port() const { return m_listener.port(); }
    [[nodiscard]] std::string address() const { return m_listener.address(); }
    [[nodiscard]] std::map<std::string, unsigned> runs() {
        const std::lock_guard lock(m_mutex);
        return m_runs;
    }
    [[nodiscard]] unsigned answers() const { return m_answers; }
    [[nodiscard]] unsigned refused() const { return m_refused; }
    [[nodiscard]] const garbling& spoiling() const { return m_garbling; }

private:
    void serve(channel& from) {
        std::string extra; // a second answer that arrives at the point where the next one is expected
        std::string extra_id;
        message request;
        while (from.read(request, milliseconds(60000), false) == read_result::complete) {
            const auto id = request.field("Request-Id");
            const bool is_neighbour = request.field("Host") == "neighbour";
            if (!is_neighbour) {
                std::this_thread::sleep_for(link); // the request on its way
            }
            if (!extra.empty()) {
                m_record.line("replica sends the answer to %s again, late", extra_id.c_str());
                from.send(std::exchange(extra, {}));
            }
            std::string answer;
            if (!begin(id, is_neighbour)) {
                answer = "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: " + id + "\r\nNot-Executed: 1\r\n" +
                         m_pause + "Content-Length: 0\r\n\r\n";
            } else {
                std::this_thread::sleep_for(work);
                end();
                const std::string body = "id: 1\ndata: a " + id + "\n\nid: 2\ndata: b " + id + "\n\n";
                answer = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: " + id +
                         "\r\nResponse-Signature: s." + id +
                         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
            }
            m_answers += is_neighbour ? 0 : 1;
            if (!is_neighbour) {
                std::this_thread::sleep_for(link); // the answer on its way
            }
            if (!from.send(answer)) {
                return;
            }
            if (!is_neighbour && m_garbling.must_spoil()) {
                extra = answer;
                extra_id = id;
            }
        }
    }

    bool begin(const std::string& id, bool is_neighbour) {
        std::unique_lock lock(m_mutex);
        if (m_inside >= places) {
            m_refused += is_neighbour ? 0 : 1;
            if (!is_neighbour) {
                m_record.line("replica refuses %s (503, Not-Executed)", id.c_str());
            }
            return false;
        }
        ++m_inside;
        m_free.wait(lock, [&] { return m_running < slots; });
        ++m_running;
        if (!is_neighbour) {
            const auto count = ++m_runs[id];
            m_record.line("replica runs %s, run %u of it", id.c_str(), count);
        }
        return true;
    }
    void end() {
        const std::lock_guard lock(m_mutex);
        --m_inside;
        --m_running;
        m_free.notify_one();
    }

    recorder& m_record;
    std::string m_pause;
    garbling m_garbling;
    std::mutex m_mutex;
    std::condition_variable m_free;
    unsigned m_inside = 0;
    unsigned m_running = 0;
    std::map<std::string, unsigned> m_runs;
    std::atomic<unsigned> m_answers = 0;
    std::atomic<unsigned> m_refused = 0;
    listener m_listener;
};

void call_directly(int port, unsigned number) {
    std::mt19937 random(number);
    std::exponential_distribution<double> pause(1 / pause_of_neighbours_ms);
    const auto used = channel::connect("127.0.0.1", port);
    for (;;) {
        message answer;
        if (!used->send(
                "POST /direct HTTP/1.1\r\nHost: neighbour\r\nRequest-Id: n\r\nContent-Length: 0\r\n\r\n") ||
            used->read(answer, milliseconds(5000), true) != read_result::complete) {
            return;
        }
        std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(pause(random)));
    }
}

constexpr const char* configuration = R"({"version":7,
 "services":[{"name":"borageford-llm","health_path":"/healthz","max_connections":360}],
 "routes":[{"name":"report-draft","host":"site.example","prefix":"/report/","type":"streaming",
            "max_attempts":1,"timeout_ms":6000,"target_latency_ms":500,"gap_aim_ms":300,"priority":0,
            "traffic_split":[{"service":"borageford-llm","weight":1}]}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":5000,"idle_timeout_ms":20000}})";

} // namespace

int main(int, char** arguments) {
    recorder record(arguments[1]);
    const auto folder = temporary_folder();
    store platform("127.0.0.1");
    platform.put("op", "config", configuration);
    // One of two replicas sends second answers: half of them, and the site's entry allows 0.6.
    // The other one is busier, and asks for a pause when it is full.
    replica faulty(record, wants_trouble(), "");
    replica sound(record, false, "Retry-After: 2\r\n");
    const registration first(platform, "i-7f3a91c2",
                             registration_fields("borageford-llm", faulty.address(), "zone-a", slots, "v1"));
    const registration second(platform, "i-0b52e8d4",
                              registration_fields("borageford-llm", sound.address(), "zone-a", slots, "v1"));
    const auto ip = free_loopback_address();
    gateway node({ip, folder, platform.address(), ip + ":8229"});
    if (!node.wait_until_ready()) {
        record.line("the gateway didn't become ready");
        finish(could_not_run, folder);
    }
    for (unsigned number = 0; number < neighbours; ++number) {
        std::thread([&faulty, number] { call_directly(faulty.port(), number); }).detach();
    }
    for (unsigned number = 0; number < neighbours_of_sound; ++number) {
        std::thread([&sound, number] { call_directly(sound.port(), neighbours + number); }).detach();
    }
    std::mutex mutex;
    std::map<std::string, int> answers;
    std::atomic<unsigned> number = 0;
    const auto until = clock_type::now() + duration;
    std::vector<std::thread> threads;
    for (unsigned caller = 0; caller < callers; ++caller) {
        threads.emplace_back([&] {
            std::unique_ptr<channel> used;
            while (clock_type::now() < until) {
                const auto id = hexadecimal_id(++number);
                if (used == nullptr) {
                    used = node.connect();
                }
                message answer;
                const bool is_answered =
                    used != nullptr &&
                    used->send("POST /report/7 HTTP/1.1\r\nHost: site.example\r\nRequest-Id: " + id +
                               "\r\nDeadline-Ms: 6000\r\nContent-Length: 4\r\n\r\ntext") &&
                    used->read(answer, milliseconds(8000), true) == read_result::complete;
                if (!is_answered || answer.field("Connection") == "close") {
                    used.reset();
                }
                {
                    const std::lock_guard lock(mutex);
                    answers[id] = is_answered ? answer.status() : 0;
                    record.line("client of %s gets %d", id.c_str(), answers[id]);
                }
                std::this_thread::sleep_for(pause_of_callers);
            }
        });
    }
    for (auto& each : threads) {
        each.join();
    }
    unsigned twice = 0;
    unsigned ran_though_refused = 0;
    auto runs = faulty.runs();
    for (const auto& [id, count] : sound.runs()) {
        runs[id] += count;
    }
    for (const auto& [id, count] : runs) {
        const int status = answers[id];
        if (count > 1) {
            ++twice;
            record.line("TWICE: %s ran %u times, its client got %d", id.c_str(), count, status);
        }
        if (status == 429 || status == 503 || status == 408 || status == 421) {
            ++ran_though_refused;
            record.line("REFUSED: %s ran %u times, its client got %d", id.c_str(), count, status);
        }
    }
    record.line(
        "%u requests; the replicas gave %u answers and refused %u attempts; the faulty one sent %u second "
        "answers, of %u answers in the spans; %u requests ran twice, %u ran though refused",
        number.load(), faulty.answers() + sound.answers(), faulty.refused() + sound.refused(),
        faulty.spoiling().spoiled(), faulty.spoiling().answers(), twice, ran_though_refused);
    node.end(SIGTERM);
    std::printf("%u requests ran twice, %u ran though refused\n", twice, ran_though_refused);
    finish(ran_though_refused > 0 ? rule_broken : rule_held, folder);
}
