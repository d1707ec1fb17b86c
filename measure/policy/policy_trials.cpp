// Simulates the slot scheduler under heavy load with `emulator::play` and prints, for each scenario, the mean
// result of each request class over several seeds. Command line arguments, as pairs of NAME VALUE, override
// the scheduler's limits.
#include "emulator/policy_trial.hpp"

#include <cstdio>
#include <cstdlib>
#include <string>

using namespace borageford;
using namespace borageford::emulator;
using namespace std::chrono_literals;

namespace {

/// Load and engines of the scenario "tinta": 12 engines of 8 slots, every third one faster. `scale`
/// multiplies the arrival rates.
trial_options tinta(double scale, std::uint64_t seed) {
    trial_options options;
    engine_model model;
    model.slots = 8;
    model.step_ms = 4.84;
    model.step_ms_per_slot = 0.0725;
    model.prompt_tokens_per_ms = 74.8;
    model.pairs_ms_per_million = 0.232;
    model.setup_ms = 70;
    model.tokens_per_event = 4;
    for (int index = 0; index < 12; ++index) {
        model.speed = index % 3 == 0 ? 1 / 0.6 : 1 / 1.7;
        options.engines.push_back(model);
    }
    request_class summary{"summary", 0,   50.5 * scale, 2890,  1.0, 39600, 52,
                          1.5,       520, 600ms,        400ms, 6s,  5.1,   1.5};
    request_class tags{"tags", 1, 33.3 * scale, 1800, 1.3, 6870, 22.5, 1.5, 224, 500ms, 400ms, 4s, 1.7, 0.52};
    request_class notes{"notes", 2,    26.3 * scale, 543,   0.89, 2310, 280,
                        1.5,     2800, 500ms,        400ms, 15s,  0.56, 0.17};
    options.load.classes = {summary, tags, notes};
    options.load.bursts = {{3470ms, 5s, 1.6, ""}, {13500ms, 2500ms, 2.1, ""}};
    options.load.seed = seed;
    return options;
}

/// Load and engines of the scenario "haian": 9 engines of 7 slots, every third one faster. `scale`
/// multiplies the arrival rates.
trial_options haian(double scale, std::uint64_t seed) {
    trial_options options;
    engine_model model;
    model.slots = 7;
    model.step_ms = 4.37;
    model.step_ms_per_slot = 0.11;
    model.prompt_tokens_per_ms = 93.6;
    model.pairs_ms_per_million = 0.35;
    model.setup_ms = 83;
    model.tokens_per_event = 4;
    for (int index = 0; index < 9; ++index) {
        model.speed = index % 3 == 0 ? 1 / 0.6 : 1 / 1.7;
        options.engines.push_back(model);
    }
    request_class draft{"draft", 0, 43 * scale, 2890, 1.0, 39600, 52, 1.5, 520, 500ms, 300ms, 6s, 5.1, 2.5};
    request_class summary{"summary", 1,   30.4 * scale, 1800,  1.3, 6870, 22.5,
                          1.5,       224, 500ms,        300ms, 4s,  1.6,  0.81};
    request_class notes{"notes", 2,    15.1 * scale, 543,   0.89, 2310, 280,
                        1.5,     2800, 400ms,        300ms, 15s,  0.78, 0.39};
    options.load.classes = {draft, summary, notes};
    options.load.bursts = {{5990ms, 5s, 1.5, ""}, {16s, 2500ms, 2.0, ""}};
    options.load.seed = seed;
    return options;
}

/// Plays one scenario with four seeds and prints a line with the means: the earned share of the possible
/// worth and, for each class, the percentages of requests by outcome and the mean times.
void run_scenario(const std::string& name, trial_options (*make)(double, std::uint64_t), double scale,
                  const policy::slot_scheduler_limits& limits, const std::vector<engine_outage>& outages,
                  slot_layout layout = slot_layout::one_coordinator, std::size_t gateways = 4) {
    constexpr std::uint64_t seeds = 4;
    double worth = 0;
    std::vector<class_result> sum(3);
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        auto options = make(scale, seed);
        options.limits = limits;
        options.outages = outages;
        options.layout = layout;
        options.gateways = gateways;
        const auto result = play(options);
        worth += result.worth / seeds;
        for (std::size_t index = 0; index < sum.size(); ++index) {
            sum[index].requests += result.classes[index].requests;
            sum[index].in_time += result.classes[index].in_time;
            sum[index].late += result.classes[index].late;
            sum[index].refused += result.classes[index].refused;
            sum[index].refused_retries += result.classes[index].refused_retries;
            sum[index].mean_refusal_ms += result.classes[index].mean_refusal_ms / seeds;
            sum[index].lost += result.classes[index].lost;
            sum[index].worth += result.classes[index].worth / seeds;
            sum[index].mean_first_ms += result.classes[index].mean_first_ms / seeds;
        }
    }
    std::printf("%-28s %.3f |", name.c_str(), worth);
    for (const auto& total : sum) {
        const double requests = static_cast<double>(total.requests) / 100;
        std::printf(" %.3f (in time %2.0f late %2.0f refused %2.0f again %2.0f lost %2.0f, first %3.0f, "
                    "refusal %4.0f ms) |",
                    total.worth, total.in_time / requests, total.late / requests, total.refused / requests,
                    total.refused_retries / requests, total.lost / requests, total.mean_first_ms,
                    total.mean_refusal_ms);
    }
    std::printf("\n");
}

} // namespace

int main(int count, char** arguments) {
    policy::slot_scheduler_limits limits;
    for (int index = 1; index + 1 < count; index += 2) {
        const std::string name = arguments[index];
        const double value = std::atof(arguments[index + 1]);
        if (name == "outstanding")
            limits.outstanding_per_slot = value;
        if (name == "lowest_in_small")
            limits.max_lowest_tier_on_small_server = static_cast<unsigned>(value);
        if (name == "reserved")
            limits.reserved_slots = static_cast<unsigned>(value);
        if (name == "patience")
            limits.max_wait_in_targets = value;
        if (name == "hopeless")
            limits.max_expected_wait_in_targets = value;
        if (name == "returned")
            limits.max_wait_of_retry_in_targets = value;
    }
    const std::vector<engine_outage> crash{{1, 10500ms, 2s}, {4, 10500ms, 2s}, {9, 10500ms, 2s}};
    run_scenario("tinta 1.0", tinta, 1.0, limits, {});
    run_scenario("tinta 1.0 crash", tinta, 1.0, limits, crash);
    run_scenario("tinta 1.3", tinta, 1.3, limits, {});
    run_scenario("haian 1.0", haian, 1.0, limits, {});
    run_scenario("haian 1.3", haian, 1.3, limits, {});

    const std::vector<std::pair<std::string, slot_layout>> layouts{
        {"one coordinator", slot_layout::one_coordinator},
        {"divided", slot_layout::divided},
        {"reported after 50 ms", slot_layout::delayed_updates},
        {"owned", slot_layout::owned},
        {"offered to two", slot_layout::offered}};
    for (const auto& [name, layout] : layouts) {
        run_scenario("tinta, " + name, tinta, 1.0, limits, {}, layout);
        run_scenario("haian, " + name, haian, 1.0, limits, {}, layout);
    }
    run_scenario("tinta, divided by 12", tinta, 1.0, limits, {}, slot_layout::divided, 12);
    run_scenario("tinta, reported, 12 gateways", tinta, 1.0, limits, {}, slot_layout::delayed_updates, 12);
}
