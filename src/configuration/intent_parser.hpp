// Reads an intent file (INI) into a configuration, and complains about everything that is wrong with it.
#pragma once

#include "configuration/configuration.hpp"
#include "settings/ini_document.hpp"

#include <string_view>
#include <vector>

namespace borageford::configuration {

/// Parses and checks the intent. When `problems` grows, the result must not be used.
/// `file` names the source in complaints.
[[nodiscard]] configuration parse_intent(std::string_view text, std::string_view file,
                                         std::vector<settings::problem>& problems);

} // namespace borageford::configuration
