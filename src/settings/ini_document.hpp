// Reads INI text into sections and keys, keeping the line of each so that every complaint can name it.
#pragma once

#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

namespace borageford::settings {

/// One thing wrong with a file.
struct problem {
    std::string file;
    unsigned line = 0; ///< 0 when the problem is something missing from the whole file
    std::string key;   ///< "section.key", or the section alone
    std::string expected;

    [[nodiscard]] std::string to_string() const;
};

/// One line each.
void print_problems(const std::vector<problem>& problems, std::ostream& out);

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

    /// "kind name", or "kind" alone.
    [[nodiscard]] std::string title() const;
    [[nodiscard]] const ini_entry* find(std::string_view key) const;
};

/// A parsed file. Order is kept.
struct ini_document {
    std::string file;
    std::vector<ini_section> sections;
};

/// Parses the text. Lines that can't be read are added to `problems`, never thrown; the rest of the file is
/// still read, so that all errors are shown at once. A text over `text_limit` bytes is one problem.
[[nodiscard]] ini_document parse_ini(std::string_view text, std::string_view file,
                                     std::vector<problem>& problems);

inline constexpr std::size_t text_limit = 4U * 1024 * 1024;

/// Reads a whole file; a file that can't be read is a problem and gives empty text.
[[nodiscard]] std::string read_file(const std::string& path, std::vector<problem>& problems);

} // namespace borageford::settings
