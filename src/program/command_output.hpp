// Prints the responses of the administration API as readable text.
#pragma once

#include "http/message.hpp"
#include "program/command.hpp"
#include "program/command_flags.hpp"

namespace borageford::program {

/// Prints the JSON body of a successful response as text.
using text_printer = void (*)(const std::string& body);

/// Prints the response, unchanged when the flag `json` is set and otherwise with `print`, and returns the
/// exit code for it. Errors are printed to standard error with their kind and remedy.
exit_code print_answer(const http::response& answer, const command_flags& flags, text_printer print);

// Each of these functions prints the body of a successful response of one subcommand.
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
