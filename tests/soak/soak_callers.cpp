// Draws each request's route and gateway at random with equal probability; the gateway may be one that is
// down.
#include "soak/soak_callers.hpp"

#include "emulator/event_text.hpp"
#include "platform/header_field_names.hpp"

#include <array>
#include <optional>
#include <utility>

namespace borageford::soak {

namespace {

/// Deadline of each request.
constexpr milliseconds time_limit{4000};
/// A caller gives up after this time, long after the deadline: a gateway that hasn't answered by now never
/// will.
constexpr milliseconds unanswered_after{9000};
/// A caller pauses between 10 and 60 ms before its next request.
constexpr milliseconds min_pause{10};
constexpr milliseconds max_pause{60};
constexpr unsigned max_output_tokens = 60;
constexpr std::size_t prompt_tokens = 200;
/// Share of the requests whose caller disconnects early, after 1 to 300 ms.
constexpr double disconnect_share = 0.04;
constexpr milliseconds max_time_to_disconnect{300};
/// Share of the requests whose caller reads nothing of the answer for 1 to 3000 ms.
constexpr double slow_share = 0.05;
constexpr milliseconds max_time_unread{3000};
/// Share of the requests that are sent by the limited workspace.
constexpr double limited_share = 0.2;
constexpr unsigned first_success = 200;
constexpr unsigned first_redirect = 300;
constexpr unsigned unavailable = 503;
/// How often a caller resumes a stream that broke off.
constexpr unsigned max_resumes = 3;

/// A route that every configuration has.
struct route_row {
    std::string_view name;
    std::string_view service; ///< empty for the route whose service changes
    bool is_idempotent;
    bool is_stream;
};

constexpr std::array routes{
    route_row{"plain", "plain", true, false},    route_row{"once", "plain", false, false},
    route_row{"single", "engines", false, true}, route_row{"stream", "engines", true, true},
    route_row{"moving", "", true, false},
};

/// The run that made an answer, according to the answer's signature: a server and the index of the run there.
struct maker {
    std::string server;
    std::size_t run = 0;
};

/// The request with which a caller resumes a stream that broke off, without an id; nothing if it doesn't.
std::optional<sent_request> make_resume(const sent_request& broken) {
    const auto received = broken.received_before + broken.result.events;
    const bool can_resume = broken.is_stream && broken.is_idempotent && broken.end == caller_end::answered &&
                            !broken.result.is_complete && received > 0 && received < broken.output_tokens;
    const bool was_refused =
        !broken.resumed_request.empty() && broken.result.status != 0 && broken.result.status != first_success;
    if (broken.resumes >= max_resumes || !(can_resume || was_refused)) {
        return std::nullopt;
    }
    auto request = broken;
    request.result = {};
    request.resumed_request = broken.resumed_request.empty() ? broken.id : broken.resumed_request;
    request.received_before = received;
    const auto software = emulator::software_in(broken.result.event_text);
    request.software_before = software.empty() ? broken.software_before : *software.begin();
    ++request.resumes;
    return request;
}

std::optional<maker> read_signature(const http::field_list& fields) {
    const auto text = fields.find(platform::header_field_names().signature);
    const auto dot = text.has_value() ? text->rfind('.') : std::string_view::npos;
    if (dot == std::string_view::npos) {
        return std::nullopt;
    }
    return maker{std::string(text->substr(0, dot)), std::stoul(std::string(text->substr(dot + 1)))};
}

} // namespace

struct soak_callers::caller {
    sent_request request;
    std::optional<sent_request> next; ///< resumes the stream of the last one
    bool is_probe = false;
    std::shared_ptr<experiment::load_call> call;
    timer_subscription limit;
    timer_subscription reading;
    timer_subscription pause;
};

soak_callers::soak_callers(soak_deployment& deployment, std::uint64_t seed)
    : m_deployment(deployment), m_random(seed) {}

soak_callers::~soak_callers() = default;

void soak_callers::start(std::size_t count) {
    for (std::size_t index = 0; index < count; ++index) {
        m_callers.push_back(std::make_shared<caller>());
        send_next(m_callers.back());
    }
}

sent_request soak_callers::make_request(const std::string& route, std::size_t gateway) {
    sent_request request;
    request.id = "soak-" + std::to_string(++m_last_number);
    request.target = "/" + route + "/" + request.id;
    request.body = "body of " + request.id;
    request.key = "key-" + std::string(open_workspace);
    request.gateway = gateway;
    const auto known = std::ranges::find(routes, route, &route_row::name);
    if (known == routes.end()) {
        request.target = "/" + route + "/x";
        request.service = "plain";
        request.is_idempotent = true;
        request.is_in_every_configuration = false;
        return request;
    }
    request.service = known->service;
    request.is_idempotent = known->is_idempotent;
    request.is_stream = known->is_stream;
    request.padding = answer_padding;
    if (request.is_stream) {
        request.parts = {std::string(harmless_part)};
    }
    request.output_tokens =
        std::uniform_int_distribution<unsigned>(1, request.is_stream ? max_output_tokens : 1)(m_random);
    return request;
}

std::size_t soak_callers::draw_gateway() {
    return std::uniform_int_distribution<std::size_t>(0, m_deployment.gateway_count() - 1)(m_random);
}

sent_request soak_callers::draw_request() {
    const auto gateway = draw_gateway();
    const auto added = m_deployment.added_routes();
    const auto choice = std::uniform_int_distribution<std::size_t>(
        0, added > 0 ? routes.size() : routes.size() - 1)(m_random);
    std::string route;
    if (choice < routes.size()) {
        route = routes[choice].name;
    } else {
        route = "added-" + std::to_string(std::uniform_int_distribution<unsigned>(0, added - 1)(m_random));
    }
    auto request = make_request(route, gateway);
    if (std::bernoulli_distribution(limited_share)(m_random)) {
        request.key = "key-" + std::string(limited_workspace);
    }
    return request;
}

void soak_callers::send_next(const std::shared_ptr<caller>& sender) {
    if (m_is_stopping) {
        return;
    }
    auto next = std::exchange(sender->next, std::nullopt);
    if (next.has_value()) {
        next->id = "soak-" + std::to_string(++m_last_number);
        next->gateway = draw_gateway();
        ++m_resumes.sent;
    }
    send(sender, next.has_value() ? std::move(*next) : draw_request());
}

void soak_callers::send(const std::shared_ptr<caller>& sender, sent_request request) {
    ++m_requests_in_progress;
    experiment::call_description call;
    call.host = soak_host;
    call.target = request.target;
    call.id = request.id;
    call.time_left = time_limit;
    if (request.is_stream) {
        call.sizes = experiment::token_counts{prompt_tokens, request.output_tokens, request.output_tokens};
    }
    if (!request.resumed_request.empty()) {
        call.received = {request.resumed_request, request.received_before};
    }
    call.key = request.key;
    call.body = request.body;
    call.parts = request.parts;
    sender->request = std::move(request);
    sender->request.sent = clock::now();
    sender->request.gateway_start_count = m_deployment.start_count(sender->request.gateway);
    const std::weak_ptr<caller> weak = sender;
    sender->call = std::make_shared<experiment::load_call>(
        m_deployment.executor(), m_pool, m_deployment.callers(sender->request.gateway),
        experiment::compose_call(call), [this, weak](const experiment::call_result& result) {
            if (const auto self = weak.lock()) {
                finish(self, caller_end::answered, result);
            }
        });
    const bool disconnects_early =
        !sender->is_probe && std::bernoulli_distribution(disconnect_share)(m_random);
    const auto limit =
        disconnects_early
            ? milliseconds(std::uniform_int_distribution<long>(1, max_time_to_disconnect.count())(m_random))
            : unanswered_after;
    sender->limit =
        m_deployment.timers().after(m_deployment.executor(), limit, [this, weak, disconnects_early] {
            if (const auto self = weak.lock()) {
                self->call->cancel();
                finish(self, disconnects_early ? caller_end::disconnected : caller_end::unanswered, {});
            }
        });
    if (!sender->is_probe && std::bernoulli_distribution(slow_share)(m_random)) {
        const milliseconds unread(std::uniform_int_distribution<long>(1, max_time_unread.count())(m_random));
        sender->call->hold_reading();
        sender->reading = m_deployment.timers().after(m_deployment.executor(), unread,
                                                      [call = sender->call] { call->read(); });
    }
    sender->call->start();
}

void soak_callers::finish(const std::shared_ptr<caller>& sender, caller_end end,
                          const experiment::call_result& result) {
    --m_requests_in_progress;
    sender->limit.cancel();
    sender->reading.cancel();
    sender->call.reset();
    auto& request = sender->request;
    request.ended = clock::now();
    request.end = end;
    request.result = result;
    request.is_same_process = request.gateway_start_count == m_deployment.start_count(request.gateway);
    check(request);
    if (!sender->is_probe) {
        sender->next = make_resume(request);
    }
    if (!request.resumed_request.empty()) {
        m_resumes.gone_on += result.events > 0 ? 1 : 0;
        m_resumes.refused += result.status == unavailable ? 1 : 0;
    }
    if (sender->is_probe) {
        const auto route = request.target.substr(1, request.target.find('/', 1) - 1);
        m_probes[{request.gateway, route}] =
            result.is_complete && result.status >= first_success && result.status < first_redirect;
    }
    m_requests.push_back(std::move(request));
    m_requests.back().result.event_text.clear(); // checked already, and large
    if (sender->is_probe) {
        std::erase(m_callers, sender);
        return;
    }
    const milliseconds pause(
        std::uniform_int_distribution<long>(min_pause.count(), max_pause.count())(m_random));
    const std::weak_ptr<caller> weak = sender;
    sender->pause = m_deployment.timers().after(m_deployment.executor(), pause, [this, weak] {
        if (const auto self = weak.lock()) {
            send_next(self);
        }
    });
}

void soak_callers::check(const sent_request& request) {
    const auto made_by = read_signature(request.result.fields);
    const auto run =
        made_by.has_value() ? m_deployment.find_run(made_by->server, made_by->run) : std::nullopt;
    for (auto& line : check_answer(request, run.has_value() ? &*run : nullptr)) {
        m_broken.push_back(std::move(line));
    }
}

void soak_callers::send_probe(std::size_t gateway, const std::string& route) {
    auto sender = std::make_shared<caller>();
    sender->is_probe = true;
    m_probes[{gateway, route}] = false;
    m_callers.push_back(sender);
    send(sender, make_request(route, gateway));
}

void soak_callers::start_fatal(double per_second) {
    if (per_second > 0) {
        const std::chrono::duration<double> period(1 / per_second);
        m_fatal_timer = m_deployment.timers().every(m_deployment.executor(),
                                                    std::chrono::duration_cast<clock::duration>(period),
                                                    [this] { send_fatal(); });
    }
}

void soak_callers::send_fatal() {
    if (m_is_stopping) {
        return;
    }
    auto request = make_request("stream", draw_gateway());
    request.output_tokens = max_output_tokens;
    if (m_fatal_requests++ % 2 == 0) {
        request.target = "/stream/fatal";
        request.body = experiment::fatal_body_text;
    } else {
        request.parts = {std::string(harmless_part), std::string(fatal_part)};
    }
    auto sender = std::make_shared<caller>();
    sender->is_probe = true;
    m_callers.push_back(sender);
    send(sender, std::move(request));
}

bool soak_callers::has_served_probe(std::size_t gateway, const std::string& route) const {
    const auto found = m_probes.find({gateway, route});
    return found != m_probes.end() && found->second;
}

} // namespace borageford::soak
