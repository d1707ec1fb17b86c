// Parses INI text into sections and entries. Each keeps its line number, so that a problem with it can be
// reported with the line.
#pragma once

#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

namespace borageford::settings {

/// One error in a file.
struct problem {
    std::string file;
    unsigned line = 0;    ///< 0: the problem concerns the file, for example a missing section
    std::string key;      ///< "section.key", a section's title or the text of a malformed line; may be empty
    std::string expected; ///< what a valid file would have in this place

    /// "file:line: key: expected ..."; the line and the key are left out if there is none.
    [[nodiscard]] std::string to_string() const;
};

/// Prints each problem as one line.
void print_problems(const std::vector<problem>& problems, std::ostream& out);

/// One "key = value" line. The value may be empty.
struct ini_entry {
    std::string key;
    std::string value;
    unsigned line = 0;
};

/// A section: "[kind name]" or "[kind]".
struct ini_section {
    std::string kind;
    std::string name;
    unsigned line = 0;
    std::vector<ini_entry> entries;

    /// "kind name", or only "kind" if the section has no name.
    [[nodiscard]] std::string title() const;
    /// The entry with this key; null if there is none.
    [[nodiscard]] const ini_entry* find(std::string_view key) const;
};

/// A parsed file. Sections and entries are in the order of the file.
struct ini_document {
    std::string file;
    std::vector<ini_section> sections;
};

/// Parses the text. A malformed line is appended to `problems` and skipped; the following lines are still
/// read, so that all errors are reported at once. A text longer than `text_limit` isn't parsed and is
/// reported as one problem. `file` is the file name shown in problems.
[[nodiscard]] ini_document parse_ini(std::string_view text, std::string_view file,
                                     std::vector<problem>& problems);

/// Maximum length of a settings or intent file in bytes.
inline constexpr std::size_t text_limit = 4U * 1024 * 1024;

/// Returns the contents of a file. If it can't be read, appends a problem and returns an empty text.
[[nodiscard]] std::string read_file(const std::string& path, std::vector<problem>& problems);

} // namespace borageford::settings
