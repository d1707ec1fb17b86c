// The program borageford_soak. It runs real gateways with an emulated store and emulated servers, sends
// requests while it injects faults that are drawn from a seed, and checks the promises against the records of
// callers and servers. Exit code 0: all promises were kept; 1: one was broken; 2: the soak couldn't be run.
#include "base/identifier.hpp"
#include "soak/descriptor_need.hpp"
#include "soak/fault_schedule.hpp"
#include "soak/promise_checks.hpp"
#include "soak/soak_callers.hpp"
#include "soak/soak_deployment.hpp"
#include "support/argument_reader.hpp"
#include "support/wait_until.hpp"

#include <boost/asio/steady_timer.hpp>

#include <exception>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>

namespace borageford::soak {

namespace {

using std::chrono::milliseconds;

/// Time between two calls of soak_deployment::supervise_gateways().
constexpr milliseconds supervision_period{50};
constexpr int cannot_run_exit_code = 2;
/// Prefix of the route whose service changes.
constexpr std::string_view moving_prefix = "/moving/";

/// The command line's settings.
struct soak_options {
    schedule_size schedule;
    deployment_size deployment;
    std::size_t callers = 24;
    double fatal_per_second = 0;  ///< rate of requests that crash servers
    std::filesystem::path folder; ///< for settings and logs; removed when all promises were kept
};

std::vector<fault_kind> read_kinds(const std::string& text) {
    std::vector<fault_kind> result;
    std::istringstream names(text);
    for (std::string name; std::getline(names, name, ',');) {
        result.push_back(parse_fault_kind(name));
    }
    return result;
}

schedule_version parse_schedule_version(std::size_t number) {
    if (number < 1 || number > static_cast<std::size_t>(schedule_version::latest)) {
        throw std::invalid_argument("no such schedule: " + std::to_string(number));
    }
    return static_cast<schedule_version>(number);
}

soak_options read_options(int count, const char* const* arguments) {
    test::argument_reader reader(count, arguments);
    const auto read_size = [&reader](std::string_view name, std::size_t fallback) {
        return static_cast<std::size_t>(reader.number(name, static_cast<double>(fallback)));
    };
    soak_options options;
    options.schedule.seed = read_size("seed", 1);
    options.schedule.length = std::chrono::seconds(read_size("seconds", 10));
    options.deployment.gateways = read_size("gateways", options.deployment.gateways);
    options.deployment.plain_servers = read_size("plain-servers", options.deployment.plain_servers);
    options.deployment.engines = read_size("engines", options.deployment.engines);
    options.callers = read_size("callers", options.callers);
    options.fatal_per_second = reader.number("fatal-per-second", 0);
    options.schedule.kinds = read_kinds(reader.text("kinds", ""));
    const auto latest = static_cast<std::size_t>(schedule_version::latest);
    options.schedule.version = parse_schedule_version(read_size("schedule", latest));
    const auto folder_name =
        "soak-" + std::to_string(options.schedule.seed) + "-" + identifier::random().to_string();
    options.folder = reader.text("folder", (std::filesystem::temp_directory_path() / folder_name).string());
    reader.finish();
    options.schedule.gateways = options.deployment.gateways;
    options.schedule.servers = options.deployment.plain_servers + options.deployment.engines + 1;
    return options;
}

/// Waits on the calling thread until a time, and calls soak_deployment::supervise_gateways() meanwhile.
void pass_time_until(soak_deployment& deployment, boost::asio::io_context& context, clock::time_point until) {
    while (clock::now() < until) {
        boost::asio::steady_timer timer(context, std::min(until, clock::now() + supervision_period));
        timer.wait();
        deployment.supervise_gateways();
    }
}

/// The begin or the end of a fault, and its time.
struct schedule_step {
    clock::time_point at;
    const planned_fault* fault = nullptr;
    bool is_begin = false;
};

std::vector<schedule_step> plan_steps(const std::vector<planned_fault>& faults, clock::time_point begin) {
    std::vector<schedule_step> steps;
    for (const auto& fault : faults) {
        steps.push_back({begin + fault.at, &fault, true});
        steps.push_back({begin + fault.at + fault.length, &fault, false});
    }
    std::ranges::sort(steps, {}, &schedule_step::at);
    return steps;
}

void play_faults(soak_deployment& deployment, const soak_options& options,
                 const std::vector<planned_fault>& faults) {
    boost::asio::io_context context;
    const auto begin = clock::now();
    std::ofstream journal(options.folder / "faults.txt");
    for (const auto& step : plan_steps(faults, begin)) {
        pass_time_until(deployment, context, step.at);
        const auto at = std::chrono::duration_cast<milliseconds>(clock::now() - begin);
        journal << at.count() << " ms: " << to_string(step.fault->kind) << " " << step.fault->target
                << (step.is_begin ? " begins" : " ends") << std::endl;
        if (step.is_begin) {
            deployment.begin(*step.fault);
        } else {
            deployment.end(*step.fault);
        }
    }
    pass_time_until(deployment, context, begin + options.schedule.length);
}

/// The routes that check_recovery() probes: those of every configuration and the newest added one.
std::vector<std::string> routes_at_end(soak_deployment& deployment) {
    const auto added = deployment.on_emulator([&] { return deployment.added_routes(); });
    std::vector<std::string> routes{"plain", "once", "single", "stream", "moving"};
    if (added > 0) {
        routes.push_back("added-" + std::to_string(added - 1));
    }
    return routes;
}

/// Sends a probe to each gateway in `waiting` and waits for the answers. Removes the gateways that served the
/// probe from `waiting`.
void probe_all(soak_deployment& deployment, soak_callers& callers, const std::string& route,
               std::set<std::size_t>& waiting) {
    deployment.supervise_gateways();
    deployment.on_emulator([&] {
        for (const auto gateway : waiting) {
            callers.send_probe(gateway, route);
        }
    });
    test::wait_until("the probes' end", [&] {
        return deployment.on_emulator([&] { return callers.requests_in_progress(); }) == 0;
    });
    deployment.on_emulator([&] {
        std::erase_if(waiting, [&](auto gateway) { return callers.has_served_probe(gateway, route); });
    });
}

/// Checks that every gateway serves the routes of the newest configuration while no fault is in effect.
broken_promises check_recovery(soak_deployment& deployment, soak_callers& callers) {
    broken_promises broken;
    for (const auto& route : routes_at_end(deployment)) {
        std::set<std::size_t> waiting;
        for (std::size_t gateway = 0; gateway < deployment.gateway_count(); ++gateway) {
            waiting.insert(gateway);
        }
        try {
            test::wait_until("all gateways serve " + route, [&] {
                probe_all(deployment, callers, route, waiting);
                return waiting.empty();
            });
        } catch (const std::exception& problem) {
            for (const auto gateway : waiting) {
                broken.push_back("gateway " + std::to_string(gateway) + " doesn't serve " + route +
                                 " after the last fault: " + problem.what());
            }
        }
    }
    return broken;
}

void append(broken_promises& to, broken_promises from) {
    std::ranges::move(from, std::back_inserter(to));
}

/// Checks the rate of the limited workspace over all gateways together.
broken_promises check_allowance(const std::vector<server_run>& runs) {
    std::vector<clock::time_point> of_limited;
    for (const auto& run : runs) {
        if (run.workspace == limited_workspace) {
            of_limited.push_back(run.begun);
        }
    }
    constexpr double tolerance = 1.1; // factor on the configured rate
    const double seconds = std::chrono::duration<double>(allowance_window).count();
    return check_window(
        "runs of the limited workspace", of_limited,
        {allowance_window, (limited_rate * seconds + limited_burst) * tolerance + allowance_slack});
}

/// Checks the retries at each service over all gateways together.
broken_promises check_all_retries(const std::vector<sent_request>& requests,
                                  std::map<std::string, std::vector<emulator::recorded_arrival>> arrivals) {
    broken_promises broken;
    for (auto& [service, of_service] : arrivals) {
        std::vector<clock::time_point> sent;
        for (const auto& request : requests) {
            if (request.service == service || request.service.empty()) {
                sent.push_back(request.sent);
            }
        }
        append(broken, check_retries(service, std::move(of_service), std::move(sent),
                                     {retry_ratio, retry_reserve, retry_window}));
    }
    return broken;
}

broken_promises check_all_moves(const soak_deployment& deployment, const std::vector<server_run>& runs,
                                const std::map<std::string, const sent_request*>& sent) {
    broken_promises broken;
    for (const auto& run : runs) {
        const auto found = sent.find(run.request_id);
        if (found != sent.end() && run.target.starts_with(moving_prefix)) {
            append(broken,
                   check_moves_in_time(*found->second, run, deployment.moves(), deployment.disturbances()));
        }
    }
    return broken;
}

broken_promises check_all_fatal(const soak_deployment& deployment) {
    const auto& all_lost = deployment.all_gateways_lost();
    auto broken =
        check_fatal("one request", deployment.fatal_by_body(), emulator::crashes_by_request, all_lost);
    append(broken, check_fatal("requests with one part", deployment.fatal_by_part(),
                               emulator::crashes_by_part, all_lost));
    return broken;
}

broken_promises check_all(soak_deployment& deployment, const soak_callers& callers,
                          const std::vector<server_run>& runs) {
    broken_promises broken = callers.broken();
    const auto& requests = callers.requests();
    const auto& disturbances = deployment.disturbances();
    std::map<std::string, const sent_request*> sent;
    std::map<std::string, std::vector<server_run>> runs_of;
    for (const auto& request : requests) {
        sent[request.id] = &request;
    }
    for (const auto& run : runs) {
        runs_of[run.request_id].push_back(run);
        append(broken, check_origin(run, sent));
    }
    const auto held = deployment.collect_held_deliveries();
    for (const auto& request : requests) {
        const auto& own_runs = runs_of[request.id];
        append(broken, check_runs(request, own_runs.size()));
        append(broken, check_final_answer(request, own_runs.size(), disturbances));
        append(broken, check_allowed(request));
        append(broken, check_disconnected(request, own_runs, held, disturbances));
    }
    append(broken, check_configuration_order(requests));
    append(broken, check_all_moves(deployment, runs, sent));
    for (const auto& server : deployment.draining_servers()) {
        append(broken, check_draining(server, runs, disturbances));
    }
    for (const auto& server : deployment.collect_limited_servers()) {
        append(broken, check_rate_limit(server, disturbances));
    }
    for (const auto& server : deployment.collect_stating_servers()) {
        append(broken, check_leaving(server, sent, disturbances));
        append(broken, check_pauses(server, sent, disturbances));
    }
    append(broken, check_all_fatal(deployment));
    append(broken, check_allowance(runs));
    append(broken, check_all_retries(requests, deployment.collect_arrivals()));
    append(broken, deployment.unexpected_exits());
    return broken;
}

void report(const soak_options& options, const soak_callers& callers, std::size_t faults, std::size_t runs,
            const broken_promises& broken) {
    const auto& requests = callers.requests();
    std::map<unsigned, std::size_t> statuses;
    for (const auto& request : requests) {
        ++statuses[request.result.status];
    }
    std::cout << "soak: seed " << options.schedule.seed << ", " << faults << " faults, " << requests.size()
              << " requests, " << runs << " runs; answers:";
    for (const auto& [status, count] : statuses) {
        std::cout << ' ' << (status == 0 ? std::string("none") : std::to_string(status)) << ' ' << count
                  << ';';
    }
    const auto& resumes = callers.resumes();
    std::cout << " streams resumed " << resumes.sent << ", gone on " << resumes.gone_on << ", refused "
              << resumes.refused << "; " << broken.size() << " broken promises\n";
    for (const auto& line : broken) {
        std::cout << "  " << line << '\n';
    }
    if (!broken.empty()) {
        std::cout << "logs and faults: " << options.folder.string() << '\n';
    }
}

/// Owns the callers and destroys them on the thread of the emulated parts, also when the soak ends with an
/// exception.
class callers_owner {
public:
    callers_owner(soak_deployment& deployment, std::uint64_t seed)
        : m_deployment(deployment), m_callers(std::make_unique<soak_callers>(deployment, seed)) {}
    ~callers_owner() {
        m_deployment.on_emulator([this] { m_callers.reset(); });
    }
    callers_owner(const callers_owner&) = delete;
    callers_owner& operator=(const callers_owner&) = delete;
    callers_owner(callers_owner&&) = delete;
    callers_owner& operator=(callers_owner&&) = delete;

    soak_callers* operator->() const noexcept { return m_callers.get(); }
    soak_callers& operator*() const noexcept { return *m_callers; }

private:
    soak_deployment& m_deployment;
    std::unique_ptr<soak_callers> m_callers;
};

int play(const soak_options& options) {
    const soak_size size{options.schedule.gateways, options.schedule.servers, options.callers};
    if (const auto reason = check_size(size, descriptor_limit())) {
        std::cerr << "soak: " << *reason << '\n';
        return cannot_run_exit_code;
    }
    if (std::filesystem::exists(options.folder) && !std::filesystem::is_empty(options.folder)) {
        std::cerr << "soak: the folder " << options.folder.string()
                  << " isn't empty; a failed run may have left it\n";
        return cannot_run_exit_code;
    }
    soak_deployment deployment(options.deployment, options.folder);
    const auto faults = draw_faults(options.schedule);
    const callers_owner callers(deployment, options.schedule.seed);
    auto broken = check_recovery(deployment, *callers);
    if (broken.empty()) {
        deployment.on_emulator([&] {
            callers->start(options.callers);
            callers->start_fatal(options.fatal_per_second);
        });
        play_faults(deployment, options, faults);
        deployment.restore();
        deployment.on_emulator([&] { callers->stop(); });
        test::wait_until("the last requests' ends", [&] {
            deployment.supervise_gateways();
            return deployment.on_emulator([&] { return callers->requests_in_progress(); }) == 0;
        });
        append(broken, check_recovery(deployment, *callers));
    }
    const auto runs = deployment.on_emulator([&] { return deployment.collect_runs(); });
    append(broken, deployment.on_emulator([&] { return check_all(deployment, *callers, runs); }));
    deployment.on_emulator([&] { report(options, *callers, faults.size(), runs.size(), broken); });
    if (broken.empty()) {
        std::filesystem::remove_all(options.folder);
    }
    return broken.empty() ? 0 : 1;
}

} // namespace

} // namespace borageford::soak

int main(int count, char** arguments) {
    try {
        return borageford::soak::play(borageford::soak::read_options(count, arguments));
    } catch (const std::exception& problem) {
        std::cerr << "soak: " << problem.what() << '\n';
        return 2;
    }
}
