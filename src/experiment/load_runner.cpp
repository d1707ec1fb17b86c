// An open-loop load generator: each request is sent at its planned time, whether or not earlier requests have
// been answered.
#include "experiment/load_runner.hpp"

#include "base/identifier.hpp"
#include "emulator/event_text.hpp"
#include "experiment/call_text.hpp"
#include "platform/users_platform.hpp"
#include "routing/not_run_status.hpp"

#include <algorithm>
#include <optional>
#include <set>
#include <utility>

namespace borageford::experiment {

namespace {

/// Time between two checks of the gateways' readiness.
constexpr milliseconds readiness_period{500};
/// The wait before a caller whose connection failed retries, as many HTTP clients do.
constexpr milliseconds reconnect_wait{100};
/// The wait before a refused caller retries when the refusal had no Retry-After header.
constexpr milliseconds default_retry_wait{500};
constexpr unsigned first_success = 200;
constexpr unsigned first_redirect = 300;
constexpr double bytes_per_token = 1;
constexpr std::size_t most_body = 64U * 1024; ///< bytes; larger prompts are truncated to it

std::vector<std::string> names_of(const std::vector<caller_group>& groups) {
    std::vector<std::string> result;
    std::ranges::transform(groups, std::back_inserter(result), &caller_group::name);
    return result;
}

milliseconds since(clock::time_point begin, clock::time_point at) {
    return std::chrono::duration_cast<milliseconds>(at - begin);
}

} // namespace

/// One caller's request, through all its attempts.
struct load_runner::caller {
    std::size_t group = 0; ///< index in experiment_plan::callers
    emulator::offered_request sizes;
    clock::time_point begun;
    unsigned attempts = 0;        ///< how often the request was sent so far
    bool will_disconnect = false; ///< the caller will disconnect early
    std::string id;               ///< of the latest attempt
    /// What was received of the stream before the latest attempt; nothing before its first event.
    std::optional<call_description::received_part> received;
    std::set<std::string, std::less<>> software; ///< that wrote the stream
    call_result last;
    std::shared_ptr<load_call> call;
    timer_subscription timer;
    timer_subscription deadline;
    timer_subscription reading; ///< begins to read, for a slow caller
    bool is_over = false;
};

load_runner::load_runner(boost::asio::any_io_executor executor, timer_service& timers,
                         const experiment_plan& plan)
    : m_executor(std::move(executor)),
      m_timers(timers),
      m_plan(plan),
      m_outcomes(names_of(plan.callers)),
      m_run(identifier::random().low),
      m_is_ready(plan.gateways.size(), false),
      m_random(plan.load.seed) {}

load_runner::~load_runner() = default;

void load_runner::check_readiness(std::function<void(std::size_t)> answer) {
    const auto pending = std::make_shared<std::size_t>(m_plan.gateways.size());
    const auto callback = std::make_shared<std::function<void(std::size_t)>>(std::move(answer));
    for (std::size_t index = 0; index < m_plan.gateways.size(); ++index) {
        const auto& place = m_plan.gateways[index];
        const boost::asio::ip::tcp::endpoint address(place.address,
                                                     static_cast<std::uint16_t>(place.first_port + 1));
        const auto request = "GET " + platform::users_platform().readiness_path +
                             " HTTP/1.1\r\nHost: gateway\r\nConnection: close\r\n\r\n";
        std::make_shared<load_call>(
            m_executor, m_pool, address, request,
            [this, index, pending, callback](const call_result& result) {
                m_is_ready[index] = result.status == first_success;
                if (--*pending == 0) {
                    (*callback)(static_cast<std::size_t>(std::ranges::count(m_is_ready, true)));
                }
            })
            ->start();
    }
}

void load_runner::start(std::function<void()> on_done) {
    m_on_done = std::move(on_done);
    m_begin = clock::now();
    m_offered = emulator::draw_requests(m_plan.load, m_begin);
    m_readiness_timer =
        m_timers.every(m_executor, readiness_period, [this] { check_readiness([](std::size_t) {}); });
    send_due();
}

void load_runner::send_due() {
    const auto now = clock::now();
    while (m_next < m_offered.size() && m_offered[m_next].at <= now) {
        const auto& sizes = m_offered[m_next++];
        auto sender = std::make_shared<caller>();
        sender->group = sizes.request_class;
        sender->sizes = sizes;
        sender->begun = now;
        sender->will_disconnect =
            std::bernoulli_distribution(m_plan.callers[sender->group].disconnect_probability)(m_random);
        ++m_in_progress;
        send(sender);
    }
    if (m_next < m_offered.size()) {
        m_timer = m_timers.after(m_executor, m_offered[m_next].at - now, [this] { send_due(); });
    } else if (m_in_progress == 0) {
        m_on_done();
    }
}

/// The gateway to which a rush leads this request; nothing if none does.
std::optional<std::size_t> load_runner::pick_in_rush(std::span<const std::size_t> ready) {
    const auto at = since(m_begin, clock::now());
    for (const auto& rush : m_plan.rushes) {
        const bool lasts = at >= rush.at && at < rush.at + rush.length;
        if (lasts && !ready.empty() && std::bernoulli_distribution(rush.share)(m_random)) {
            const auto first = std::ranges::lower_bound(ready, rush.gateway);
            return first != ready.end() ? *first : ready.front();
        }
    }
    return std::nullopt;
}

load_runner::destination load_runner::pick_gateway() {
    std::vector<std::size_t> ready;
    for (std::size_t index = 0; index < m_is_ready.size(); ++index) {
        if (m_is_ready[index]) {
            ready.push_back(index);
        }
    }
    const auto in_rush = pick_in_rush(ready);
    if (in_rush.has_value()) {
        const auto& place = m_plan.gateways[*in_rush];
        return {{place.address, place.first_port}, std::make_shared<connection_pool>()};
    }
    const auto draw = m_random();
    const auto index = ready.empty() ? draw % m_plan.gateways.size() : ready[draw % ready.size()];
    const auto& place = m_plan.gateways[index];
    return {{place.address, place.first_port}, m_pool};
}

std::string load_runner::compose(const caller& sender, const std::string& id) const {
    const auto& group = m_plan.callers[sender.group];
    const auto& sizes = m_plan.load.classes[sender.group];
    const auto& route = route_of(sender);
    call_description call;
    call.host = route.host;
    call.target = route.prefix + "x";
    call.id = id;
    call.time_left = std::chrono::duration_cast<milliseconds>(sizes.deadline - (clock::now() - sender.begun));
    if (route.kind == routing::route_kind::stream) {
        call.sizes =
            token_counts{static_cast<std::size_t>(sender.sizes.prompt_tokens), sender.sizes.output_tokens,
                         static_cast<std::size_t>(sender.sizes.hinted_output)};
    }
    call.received = sender.received;
    call.key = group.key;
    const auto size = static_cast<std::size_t>(sender.sizes.prompt_tokens * bytes_per_token);
    call.parts = group.parts;
    if (group.fatal == fatal_trait::request) {
        call.body = fatal_body_text;
        return compose_call(call);
    }
    if (!group.parts.empty()) {
        call.body = id;
    }
    call.body.resize(std::max(call.body.size(), std::min(most_body, size)), 'x');
    return compose_call(call);
}

void load_runner::send(const std::shared_ptr<caller>& sender) {
    const auto& sizes = m_plan.load.classes[sender->group];
    ++sender->attempts;
    sender->id = std::to_string(m_run) + "-" + std::to_string(++m_last_id);
    const auto& route = route_of(*sender);
    m_sent[m_plan.configuration.services[route.services.front().service].name].push_back(clock::now());
    if (!route.may_repeat()) {
        m_at_most_once_ids.insert(sender->id);
    }
    const auto to = pick_gateway();
    sender->call = std::make_shared<load_call>(
        m_executor, to.pool, to.address, compose(*sender, sender->id),
        [this, sender](const call_result& result) { handle_result(sender, result); });
    const auto left = sizes.deadline - (clock::now() - sender->begun);
    const auto timeout = sender->will_disconnect ? left / 4 : left;
    sender->deadline = m_timers.after(m_executor, timeout, [this, sender] {
        sender->call->cancel();
        end(sender, sender->will_disconnect ? outcome::left : outcome::failed);
    });
    const auto reads_after = m_plan.callers[sender->group].reads_after;
    if (reads_after > milliseconds::zero()) {
        sender->call->hold_reading();
        sender->reading = m_timers.after(m_executor, reads_after, [call = sender->call] { call->read(); });
    }
    sender->call->start();
}

void load_runner::handle_result(const std::shared_ptr<caller>& sender, const call_result& result) {
    sender->deadline.cancel();
    sender->last = result;
    record_stream(*sender, result);
    const bool is_success = result.status >= first_success && result.status < first_redirect;
    const bool is_refused = routing::says_not_run(result.status);
    if (is_refused) {
        m_not_run_ids.insert(sender->id);
    }
    const auto& group = m_plan.callers[sender->group];
    const auto& sizes = m_plan.load.classes[sender->group];
    if (result.is_complete && is_success) {
        const bool is_in_time = result.first_event - sender->begun <= sizes.target;
        end(sender, is_in_time ? outcome::in_time : outcome::late);
        return;
    }
    const bool may_retry = sender->attempts <= group.max_retries;
    if (may_retry && is_refused) {
        schedule_retry(sender, result.retry_after.value_or(default_retry_wait));
        return;
    }
    if (may_retry && !result.has_connected) {
        schedule_retry(sender, reconnect_wait);
        return;
    }
    const bool can_resume = sender->received.has_value() && route_of(*sender).may_repeat();
    if (may_retry && can_resume && !result.is_complete) {
        schedule_retry(sender, reconnect_wait);
        return;
    }
    end(sender, is_refused ? outcome::refused : outcome::failed);
}

const routing::route& load_runner::route_of(const caller& sender) const {
    const auto& name = m_plan.callers[sender.group].route;
    return *std::ranges::find(m_plan.configuration.routes, name, &routing::route::name);
}

/// Records what an attempt brought of a stream.
void load_runner::record_stream(caller& sender, const call_result& result) {
    if (result.events == 0) {
        return;
    }
    m_streams.resumed += sender.received.has_value() ? 1 : 0;
    if (!sender.received.has_value()) {
        sender.received = {sender.id, 0};
    }
    sender.received->last_event += result.events;
    const auto before = sender.software.size();
    sender.software.merge(emulator::software_in(result.event_text));
    m_streams.mixed += before < 2 && sender.software.size() >= 2 ? 1 : 0;
}

void load_runner::schedule_retry(const std::shared_ptr<caller>& sender, milliseconds wait) {
    const auto& sizes = m_plan.load.classes[sender->group];
    if (clock::now() + wait - sender->begun >= sizes.deadline) {
        end(sender, outcome::refused);
        return;
    }
    sender->timer = m_timers.after(m_executor, wait, [this, sender] { send(sender); });
}

void load_runner::end(const std::shared_ptr<caller>& sender, outcome what) {
    if (std::exchange(sender->is_over, true)) {
        return;
    }
    sender->deadline.cancel();
    sender->timer.cancel();
    sender->call.reset();
    const auto now = clock::now();
    m_outcomes.add({sender->group, what, since(m_begin, sender->begun),
                    since(sender->begun, sender->last.first_event), since(sender->begun, now),
                    sender->attempts, sender->last.status, sender->id});
    if (--m_in_progress == 0 && m_next == m_offered.size()) {
        m_on_done();
    }
}

} // namespace borageford::experiment
