// Reads log files line by line; lines that no gateway wrote are skipped.
#include "program/logs_command.hpp"

#include "diagnosis/log_record.hpp"
#include "diagnosis/loss_report.hpp"
#include "diagnosis/request_timeline.hpp"
#include "program/command_flags.hpp"

#include <chrono>
#include <fstream>
#include <functional>
#include <iostream>
#include <istream>
#include <string>
#include <utility>

namespace borageford::program {
namespace {

/// The length of the time windows of the loss report: bursts and recoveries take some seconds, and this
/// length shows when they begin and end.
constexpr std::chrono::seconds loss_window{2};

/// Called with each parsed line.
using record_handler = std::function<void(diagnosis::log_record)>;

void read_lines(std::istream& input, const record_handler& handle) {
    for (std::string line; std::getline(input, line);) {
        if (auto record = diagnosis::read_log_record(line)) {
            handle(std::move(*record));
        }
    }
}

/// Throws usage_error when the file can't be read.
void read_file(const std::string& name, const record_handler& handle) {
    std::ifstream file(name);
    if (!file) {
        throw usage_error("can't read the file \"" + name + "\"");
    }
    read_lines(file, handle);
    if (file.bad()) {
        throw usage_error("reading the file \"" + name + "\" failed");
    }
}

/// Reads all files, or standard input when no file is named.
void read_all(arguments files, const record_handler& handle) {
    for (const auto& name : files) {
        read_file(name, handle);
    }
    if (files.empty()) {
        read_lines(std::cin, handle);
    }
}

} // namespace

exit_code run_logs(arguments words) {
    if (words.empty() || words.front().empty()) {
        throw usage_error("logs needs the ID of one request, and the files to look in");
    }
    diagnosis::request_timeline timeline(words.front());
    read_all(words.subspan(1),
             [&timeline](diagnosis::log_record record) { timeline.add(std::move(record)); });
    timeline.print(std::cout);
    return timeline.has_lines() ? exit_code::done : exit_code::failed;
}

exit_code run_losses(arguments words) {
    diagnosis::loss_report report(loss_window);
    read_all(words, [&report](const diagnosis::log_record& record) { report.add(record); });
    report.print(std::cout);
    return report.has_requests() ? exit_code::done : exit_code::failed;
}

} // namespace borageford::program
