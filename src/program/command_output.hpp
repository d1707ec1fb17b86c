// The API's answers as text for people.
#pragma once

#include "http/message.hpp"
#include "program/command.hpp"
#include "program/command_flags.hpp"

namespace borageford::program {

/// How a successful answer's body is shown.
using text_printer = void (*)(const std::string& body);

/// Prints the answer, as it came or as text, and gives the exit code that it means. Errors go to standard
/// error with their kind and remedy.
exit_code print_answer(const http::response& answer, const command_flags& flags, text_printer print);

void print_plan(const std::string& body);
void print_commit(const std::string& body);
void print_revisions(const std::string& body);
void print_revision(const std::string& body);
void print_status(const std::string& body);
void print_servers(const std::string& body);
void print_limits(const std::string& body);
void print_quarantine(const std::string& body);
void print_release(const std::string& body);
void print_explanation(const std::string& body);

} // namespace borageford::program
