// Simulates the trial in short time slices. Each slice processes arrivals, engine crashes, the engines'
// events, released slots, the decisions about slots, and the callers' deadlines.
#include "emulator/policy_trial.hpp"

#include "emulator/slot_deciders.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <queue>
#include <unordered_map>
#include <utility>

namespace borageford::emulator {

namespace {

/// How long the simulation goes on after the last arrival, so that the requests still in progress can end.
constexpr std::chrono::seconds drain_time{16};
constexpr double ms_per_second = 1000;

/// A caller's request, through all its attempts.
struct live_request {
    offered_request offered;
    time_point first_sent;
    policy::slot_ticket ticket = 0;
    unsigned refusals = 0; ///< how often it was refused so far
    bool is_waiting = false;
    std::optional<std::size_t> engine; ///< the engine on which it runs
    time_point granted;                ///< when it was granted a slot
    std::optional<time_point> first_event;
    time_point last_event;
    bool is_late = false; ///< its first event or a later event came after the target
    bool is_over = false;
};

/// One run of the simulation.
class trial {
public:
    explicit trial(const trial_options& options)
        : m_options(options), m_deciders(options), m_start(time_point{} + std::chrono::hours(1)) {
        for (const auto& engine : options.engines) {
            m_engines.emplace_back(engine, m_start);
        }
        m_result.classes.resize(options.load.classes.size());
        m_earned.resize(options.load.classes.size());
        m_owed.resize(options.load.classes.size());
    }

    trial_result run() {
        for (const auto& offered : draw_requests(m_options.load, m_start)) {
            live_request request;
            request.offered = offered;
            request.first_sent = offered.at;
            m_requests.push_back(request);
        }
        for (std::size_t index = 0; index < m_requests.size(); ++index) {
            m_arrivals.push({m_requests[index].offered.at, index});
        }
        const auto end = m_start + m_options.load.length + drain_time;
        for (m_now = m_start; m_now < end; m_now += m_options.slice) {
            step();
        }
        return summarize();
    }

private:
    using arrival = std::pair<time_point, std::size_t>;

    const request_class& class_of(const live_request& request) const {
        return m_options.load.classes[request.offered.request_class];
    }

    /// Whether an engine is in an outage now.
    bool is_down(std::size_t engine) const {
        return std::ranges::any_of(m_options.outages, [&](const engine_outage& outage) {
            return outage.engine == engine && m_now >= m_start + outage.begin &&
                   m_now < m_start + outage.begin + outage.length;
        });
    }

    void step() {
        while (!m_arrivals.empty() && m_arrivals.top().first <= m_now) {
            const auto index = m_arrivals.top().second;
            m_arrivals.pop();
            request_slot(index);
        }
        crash_engines();
        for (std::size_t engine = 0; engine < m_engines.size(); ++engine) {
            process_events(engine);
        }
        while (!m_releases.empty() && m_releases.front().first <= m_now) {
            m_deciders.release(m_releases.front().second, m_now);
            m_releases.pop();
        }
        for (const auto& grant : m_deciders.grant(m_now)) {
            begin_request(m_by_ticket.at(grant.ticket), grant);
        }
        for (const auto& refusal : m_deciders.take_refusals()) {
            refuse(m_by_ticket.at(refusal.ticket), refusal.retry_after);
        }
        check_deadlines();
    }

    void request_slot(std::size_t index) {
        auto& request = m_requests[index];
        const auto& of = class_of(request);
        policy::slot_request slot_request;
        slot_request.ticket = ++m_last_ticket;
        slot_request.service = slot_deciders::service;
        slot_request.tier = of.tier;
        slot_request.arrived = m_now;
        slot_request.deadline = request.first_sent + of.deadline;
        slot_request.target = of.target;
        slot_request.cost = {request.offered.prompt_tokens, request.offered.hinted_output};
        slot_request.previous_refusals = request.refusals;
        request.ticket = slot_request.ticket;
        request.is_waiting = true;
        m_by_ticket[slot_request.ticket] = index;
        m_deciders.add(slot_request, m_now);
        m_live.push_back(index);
    }

    void begin_request(std::size_t index, const policy::slot_grant& grant) {
        auto& request = m_requests[index];
        request.is_waiting = false;
        const auto engine = static_cast<std::size_t>(grant.server - 1);
        if (is_down(engine)) {
            release(request, engine, policy::slot_outcome::unreachable);
            request_slot(index);
            return;
        }
        engine_request work;
        work.id = grant.ticket;
        work.prompt.push_back({grant.ticket, request.offered.prompt_tokens});
        work.output_tokens = request.offered.output_tokens;
        request.granted = m_now;
        if (!m_engines[engine].add(work, m_now + m_options.control_delay)) {
            release(request, engine, policy::slot_outcome::refused);
            request_slot(index);
            return;
        }
        request.engine = engine;
    }

    void release(live_request& request, std::size_t engine, policy::slot_outcome outcome) {
        const auto first = request.first_event ? *request.first_event - request.granted : duration{};
        m_releases.push(
            {m_now + m_options.control_delay,
             {request.ticket, slot_deciders::key_of(engine), outcome, m_now - request.granted, first}});
        request.engine.reset();
    }

    void process_events(std::size_t engine) {
        for (const auto& event : m_engines[engine].advance(m_now)) {
            const auto found = m_by_ticket.find(event.request);
            if (found == m_by_ticket.end() || m_requests[found->second].is_over) {
                continue;
            }
            process_event(m_requests[found->second], engine, event);
        }
    }

    void process_event(live_request& request, std::size_t engine, const engine_event& event) {
        const auto& of = class_of(request);
        if (event.what == engine_event::kind::finished) {
            release(request, engine, policy::slot_outcome::served);
            finish(request, request.is_late ? &class_result::late : &class_result::in_time);
            return;
        }
        if (!request.first_event) {
            request.first_event = event.at;
            request.is_late = event.at - request.first_sent > of.target;
        } else if (event.at - request.last_event > of.pause_target) {
            request.is_late = true;
        }
        request.last_event = event.at;
    }

    void refuse(std::size_t index, duration retry_after) {
        auto& request = m_requests[index];
        request.is_waiting = false;
        const auto& of = class_of(request);
        const auto left = request.first_sent + of.deadline - m_now;
        const auto back = m_now + std::min(retry_after, left / 3);
        if (request.refusals > 0) {
            ++m_result.classes[request.offered.request_class].refused_retries;
        }
        if (request.refusals++ < m_options.caller_retries && back < request.first_sent + of.deadline) {
            m_arrivals.push({back, index});
            return;
        }
        m_refusal_ms[request.offered.request_class] +=
            policy::to_seconds(m_now - request.first_sent) * ms_per_second;
        finish(request, &class_result::refused);
    }

    void crash_engines() {
        for (const auto& outage : m_options.outages) {
            const auto begin = m_start + outage.begin;
            if (m_now < begin || m_now >= begin + m_options.slice) {
                continue;
            }
            m_engines[outage.engine].crash(m_now);
            for (const auto index : m_live) {
                auto& request = m_requests[index];
                if (!request.is_over && request.engine == outage.engine) {
                    release(request, outage.engine, policy::slot_outcome::broken);
                    finish(request, &class_result::lost);
                }
            }
        }
    }

    void check_deadlines() {
        for (const auto index : m_live) {
            auto& request = m_requests[index];
            const bool has_passed = m_now > request.first_sent + class_of(request).deadline;
            if (request.is_over || !has_passed) {
                continue;
            }
            if (request.is_waiting) {
                m_deciders.withdraw(request.ticket);
            } else if (request.engine) {
                m_engines[*request.engine].cancel(request.ticket, m_now);
                release(request, *request.engine, policy::slot_outcome::abandoned);
            }
            finish(request, &class_result::lost);
        }
        std::erase_if(m_live, [this](std::size_t index) { return m_requests[index].is_over; });
    }

    void finish(live_request& request, std::uint64_t class_result::* outcome) {
        request.is_over = true;
        auto& result = m_result.classes[request.offered.request_class];
        ++(result.*outcome);
        const auto& of = class_of(request);
        const double size = worth_factor(request);
        if (outcome == &class_result::in_time) {
            m_earned[request.offered.request_class] += of.worth * size;
        } else if (outcome == &class_result::late) {
            m_earned[request.offered.request_class] += of.late_worth * size;
        }
        if (request.first_event) {
            m_first_ms[request.offered.request_class] +=
                policy::to_seconds(*request.first_event - request.first_sent) * ms_per_second;
        }
    }

    /// The value of a request relative to the mean of its class: larger requests are worth more, up to four
    /// times as much.
    double worth_factor(const live_request& request) const {
        constexpr double fixed_part = 0.3;
        constexpr double output_weight = 10;
        constexpr double most = 4;
        const auto& of = class_of(request);
        const double size = request.offered.prompt_tokens + output_weight * request.offered.output_tokens;
        const double mean = of.prompt_tokens + output_weight * of.output_tokens;
        return std::min(most, fixed_part + (1 - fixed_part) * size / mean);
    }

    trial_result summarize() {
        double earned = 0;
        double owed = 0;
        for (const auto& request : m_requests) {
            auto& result = m_result.classes[request.offered.request_class];
            ++result.requests;
            m_owed[request.offered.request_class] += class_of(request).worth * worth_factor(request);
        }
        for (std::size_t index = 0; index < m_result.classes.size(); ++index) {
            auto& result = m_result.classes[index];
            const auto served = result.in_time + result.late;
            result.worth = m_owed[index] > 0 ? m_earned[index] / m_owed[index] : 0;
            result.mean_first_ms = served > 0 ? m_first_ms[index] / static_cast<double>(served) : 0;
            result.mean_refusal_ms =
                result.refused > 0 ? m_refusal_ms[index] / static_cast<double>(result.refused) : 0;
            earned += m_earned[index];
            owed += m_owed[index];
        }
        m_result.worth = owed > 0 ? earned / owed : 0;
        return m_result;
    }

    const trial_options& m_options;
    slot_deciders m_deciders;
    time_point m_start;
    time_point m_now;
    std::vector<batching_engine> m_engines;
    std::vector<live_request> m_requests;
    std::vector<std::size_t> m_live;
    std::priority_queue<arrival, std::vector<arrival>, std::greater<>> m_arrivals;
    std::queue<std::pair<time_point, policy::slot_release>> m_releases;
    std::unordered_map<policy::slot_ticket, std::size_t> m_by_ticket;
    policy::slot_ticket m_last_ticket = 0;
    std::vector<double> m_earned;
    std::vector<double> m_owed;
    std::map<std::size_t, double> m_first_ms;
    std::map<std::size_t, double> m_refusal_ms;
    trial_result m_result;
};

} // namespace

trial_result play(const trial_options& options) {
    return trial(options).run();
}

} // namespace borageford::emulator
