// Checks that docs/ERRORS.md documents the table of error kinds exactly.
#include "base/error_kind.hpp"

#include <catch2/catch.hpp>

#include <fstream>
#include <string>
#include <vector>

using namespace borageford;

namespace {

/// The row of the page's table that documents an error kind.
std::string row_of(const error_answer& answer) {
    return "| `" + std::string(answer.name) + "` | " + std::to_string(answer.http_status) + " | " +
           std::string(to_string(answer.ran)) + " | " + std::string(to_string(answer.retry)) + " | " +
           std::string(answer.summary) + " |";
}

/// The rows of the table of error kinds in docs/ERRORS.md, in the order of the page.
std::vector<std::string> rows_of_page() {
    std::ifstream page(DOCS_FOLDER "/ERRORS.md");
    REQUIRE(page);
    std::vector<std::string> rows;
    bool is_in_table = false;
    for (std::string line; std::getline(page, line);) {
        if (line.starts_with("| kind |")) {
            is_in_table = true;
        } else if (is_in_table && line.starts_with("| `")) {
            rows.push_back(line);
        } else if (line.empty()) {
            is_in_table = false;
        }
    }
    return rows;
}

} // namespace

TEST_CASE("the page of errors shows the table of error kinds", "[errors]") {
    std::vector<std::string> expected;
    for (const auto& answer : error_answers()) {
        expected.push_back(row_of(answer));
    }
    CHECK(rows_of_page() == expected);
}

TEST_CASE("each error kind is found by its name", "[errors]") {
    for (const auto& answer : error_answers()) {
        CHECK(find_error_kind(answer.name) == answer.kind);
        CHECK(&answer_for(answer.kind) == &answer);
    }
    CHECK_FALSE(find_error_kind("no such kind"));
}
