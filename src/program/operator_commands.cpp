// The table of the operators' subcommands. Most of them make one call of the administration API; check,
// emulate, logs and losses need no entry.
#include "program/operator_commands.hpp"

#include "program/check_command.hpp"
#include "program/command_flags.hpp"
#include "program/command_output.hpp"
#include "program/emulate_command.hpp"
#include "program/entry_client.hpp"
#include "program/logs_command.hpp"
#include "settings/ini_document.hpp"
#include "settings/section_reader.hpp"

#include <array>
#include <chrono>
#include <iostream>
#include <vector>

namespace borageford::program {
namespace {

/// The only argument. Throws usage_error unless there is exactly one; `what` describes it in the message.
const std::string& require_single_argument(arguments words, std::string_view what) {
    if (words.size() != 1) {
        throw usage_error("this command needs " + std::string(what));
    }
    return words.front();
}

/// Throws usage_error when there is any argument.
void require_no_arguments(arguments words) {
    if (!words.empty()) {
        throw usage_error("unexpected \"" + words.front() + "\"");
    }
}

exit_code call_and_print(const std::string& method, const std::string& target, text_printer print,
                         const std::string& body = {}) {
    const auto flags = read_command_flags();
    return print_answer(call_entry(flags, method, target, body), flags, print);
}

/// The query of a call that may wait until a change is in force everywhere; empty without the flag `wait`.
std::string wait_query() {
    const auto flags = read_command_flags();
    return flags.wait ? "?wait=" + std::to_string(flags.wait->count()) + "ms" : std::string();
}

exit_code run_plan(arguments words) {
    const auto& file = require_single_argument(words, "one FILE with the intent");
    std::vector<settings::problem> problems;
    const auto text = settings::read_file(file, problems);
    if (!problems.empty()) {
        throw usage_error(problems.front().to_string());
    }
    return call_and_print("POST", "/admin/plans?file=" + encode_for_target(file), print_plan, text);
}

exit_code run_confirm(arguments words) {
    const auto& plan = require_single_argument(words, "the id of one PLAN");
    return call_and_print("POST", "/admin/plans/" + encode_for_target(plan) + "/confirm" + wait_query(),
                          print_commit);
}

exit_code run_revisions(arguments words) {
    require_no_arguments(words);
    const auto limit = std::to_string(read_command_flags().limit);
    return call_and_print("GET", "/admin/revisions?limit=" + limit, print_revisions);
}

exit_code run_show(arguments words) {
    const auto& revision = require_single_argument(words, "the number of one REVISION");
    return call_and_print("GET", "/admin/revisions/" + encode_for_target(revision), print_revision);
}

exit_code run_revert(arguments words) {
    const auto& revision = require_single_argument(words, "the number of one REVISION");
    return call_and_print("POST", "/admin/revisions/" + encode_for_target(revision) + "/revert", print_plan);
}

exit_code run_status(arguments words) {
    require_no_arguments(words);
    return call_and_print("GET", "/admin/status", print_status);
}

exit_code run_servers(arguments words) {
    require_no_arguments(words);
    return call_and_print("GET", "/admin/backend_servers", print_servers);
}

exit_code run_drain(arguments words) {
    const auto& server = require_single_argument(words, "the name of one BACKEND_SERVER");
    return call_and_print("POST",
                          "/admin/backend_servers/" + encode_for_target(server) + "/drain" + wait_query(),
                          print_commit);
}

exit_code run_undrain(arguments words) {
    const auto& server = require_single_argument(words, "the name of one BACKEND_SERVER");
    return call_and_print("POST",
                          "/admin/backend_servers/" + encode_for_target(server) + "/undrain" + wait_query(),
                          print_commit);
}

exit_code run_quarantine(arguments words) {
    require_no_arguments(words);
    return call_and_print("GET", "/admin/quarantine", print_quarantine);
}

exit_code run_release(arguments words) {
    const auto& fingerprint = require_single_argument(words, "one FINGERPRINT");
    return call_and_print("POST", "/admin/quarantine/" + encode_for_target(fingerprint) + "/release",
                          print_release);
}

exit_code run_limits(arguments words) {
    require_no_arguments(words);
    return call_and_print("GET", "/admin/limits", print_limits);
}

/// With a request's id, prints what happened to the request; without an id, lists the requests of a
/// workspace.
exit_code run_explain(arguments words) {
    if (!words.empty()) {
        const auto& id = require_single_argument(words, "one REQUEST_ID");
        return call_and_print("GET", "/admin/requests/" + encode_for_target(id), print_explanation);
    }
    const auto flags = read_command_flags();
    const auto since = settings::parse_duration(flags.since);
    if (!since) {
        throw usage_error("--since needs a duration with its unit, for example 30m");
    }
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto from = std::chrono::duration_cast<std::chrono::milliseconds>(now) - *since;
    return call_and_print("GET",
                          "/admin/requests?workspace=" + encode_for_target(flags.workspace) + "&from=" +
                              std::to_string(from.count()) + "&limit=" + std::to_string(flags.limit),
                          print_explanation);
}

constexpr std::array commands{
    command{"check", "FILE...", "reports every error of settings files and intents",
            "Needs no entry. The file's sections tell what it is: [entry], [sidecar], [gateway],\nor an "
            "intent.\n",
            run_check},
    command{"plan", "FILE", "shows what an intent would change; changes nothing",
            "The plan is kept, and confirm puts exactly it in force.\n", run_plan},
    command{"confirm", "PLAN [--wait]", "puts a plan in force as the next revision",
            "Refused when another revision was confirmed since the plan was made. Confirming the same plan "
            "again\nis safe: it is accepted once.\n",
            run_confirm},
    command{"revisions", "[--limit=N]", "lists the newest revisions", "", run_revisions},
    command{"show", "REVISION", "prints the intent of a revision", "", run_show},
    command{"revert", "REVISION", "plans an old revision's content as a new one",
            "Nothing is in force until the plan is confirmed.\n", run_revert},
    command{"status", "", "shows the revision that each live node holds", "", run_status},
    command{"servers", "", "lists the backend servers, their state and load as this entry sees them", "",
            run_servers},
    command{"drain", "BACKEND_SERVER [--wait]", "gives a backend server no new work, at once",
            "Recorded as a revision. What runs there goes on to its end.\n", run_drain},
    command{"undrain", "BACKEND_SERVER [--wait]", "lets a drained backend server take work again", "",
            run_undrain},
    command{"quarantine", "", "lists requests that ran when backend servers died", "", run_quarantine},
    command{"release", "FINGERPRINT", "lets a quarantined request run again", "", run_release},
    command{"limits", "", "shows each workspace's limits and what it takes at this entry", "", run_limits},
    command{"explain", "[REQUEST_ID] [--workspace=W] [--since=1h]",
            "says what happened to a request, and why",
            "Without an id it lists the requests of a workspace and time.\n", run_explain},
    command{
        "emulate", "FILE [--report=FOLDER] [--ready-limit=60s]",
        "plays an experiment against gateways: emulated servers, store and callers",
        "Needs no entry. Writes a settings file for each gateway that the FILE names into FOLDER, and waits\n"
        "until all are ready; then it plays the load and the faults, and writes summary.txt, plot.svg and\n"
        "requests.csv. examples/experiment.ini shows what a FILE has. Exit code 1: a gateway wasn't ready, "
        "or\n"
        "a request that may run once ran more often.\n",
        run_emulate},
    command{"logs", "REQUEST_ID [FILE...]", "tells one request's lines from gateways' logs",
            "Needs no entry. Reads standard input when no file is named; give it the logs of all gateways,\n"
            "since the one that coordinates decides about the requests of the others. Exit code 1: no line\n"
            "tells of this request.\n",
            run_logs},
    command{
        "losses", "[FILE...]", "counts from gateways' logs what callers didn't get, and why",
        "Needs no entry. Reads standard input when no file is named; give it the logs of all gateways. "
        "Tells\n"
        "by route, workspace and time how many were late, refused, cut or lost. Exit code 1: no line ends a\n"
        "request.\n",
        run_losses},
};

} // namespace

std::span<const command> operator_commands() {
    return commands;
}

} // namespace borageford::program
