// Reads the files line by line; lines that are no gateway's are passed over.
#include "program/logs_command.hpp"

#include "diagnosis/log_record.hpp"
#include "diagnosis/request_story.hpp"
#include "program/command_flags.hpp"

#include <fstream>
#include <iostream>
#include <istream>
#include <string>

namespace borageford::program {
namespace {

void read_lines(std::istream& input, diagnosis::request_story& story) {
    for (std::string line; std::getline(input, line);) {
        if (auto record = diagnosis::read_log_record(line)) {
            story.take(std::move(*record));
        }
    }
}

void read_file(const std::string& name, diagnosis::request_story& story) {
    std::ifstream file(name);
    if (!file) {
        throw usage_error("can't read the file \"" + name + "\"");
    }
    read_lines(file, story);
    if (file.bad()) {
        throw usage_error("reading the file \"" + name + "\" failed");
    }
}

} // namespace

exit_code run_logs(arguments words) {
    if (words.empty() || words.front().empty()) {
        throw usage_error("logs needs the ID of one request, and the files to look in");
    }
    diagnosis::request_story story(words.front());
    const auto files = words.subspan(1);
    for (const auto& name : files) {
        read_file(name, story);
    }
    if (files.empty()) {
        read_lines(std::cin, story);
    }
    story.tell(std::cout);
    return story.has_lines() ? exit_code::done : exit_code::failed;
}

} // namespace borageford::program
