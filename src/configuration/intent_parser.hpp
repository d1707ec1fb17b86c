// Parses an intent file (INI) into a configuration and reports every error in the file, not only the first.
#pragma once

#include "configuration/configuration.hpp"
#include "settings/ini_document.hpp"

#include <string_view>
#include <vector>

namespace borageford::configuration {

/// Parses and checks the intent. Errors are appended to `problems`, sorted by line; if there are any, the
/// result must not be used. `file` is the file name shown in the errors.
[[nodiscard]] configuration parse_intent(std::string_view text, std::string_view file,
                                         std::vector<settings::problem>& problems);

} // namespace borageford::configuration
