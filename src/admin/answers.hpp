// The bodies of the administration API's answers.
#pragma once

#include "admin/node_view.hpp"
#include "admin/planner.hpp"
#include "admin/quarantine.hpp"
#include "admin/revision_survey.hpp"
#include "base/request_error.hpp"
#include "configuration/revision_store.hpp"
#include "http/message.hpp"
#include "settings/ini_document.hpp"

#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace borageford::admin {

/// What an operator can do about an error of this kind.
[[nodiscard]] std::string_view remedy_for(error_kind kind) noexcept;

[[nodiscard]] http::response error_answer(const request_error& error);
[[nodiscard]] http::response problems_answer(const std::vector<settings::problem>& problems);
[[nodiscard]] http::response plan_answer(const configuration::plan& what);
/// A conflict is an error that names what came between.
[[nodiscard]] http::response commit_answer(const confirm_result& result);
/// Without texts.
[[nodiscard]] http::response revisions_answer(const std::vector<configuration::revision_row>& revisions);
[[nodiscard]] http::response revision_answer(const configuration::revision_row& revision);

/// What an entry knows of the whole system's configuration.
struct system_status {
    std::string entry;
    configuration::revision_number held = 0;
    std::optional<configuration::revision_number> head; ///< nothing: the platform doesn't answer
    std::vector<node_revision> nodes;
    std::optional<configuration::spread_row> spread; ///< of the newest revision, when known
};
[[nodiscard]] http::response status_answer(const system_status& status);

[[nodiscard]] http::response servers_answer(const configuration::configuration& current,
                                            const std::vector<backend_server_state>& states);
[[nodiscard]] http::response limits_answer(const configuration::configuration& current,
                                           const std::vector<configuration::workspace_use>& use);
[[nodiscard]] http::response quarantine_answer(const std::vector<marked_request>& requests);
[[nodiscard]] http::response released_answer(std::string_view fingerprint);
[[nodiscard]] http::response explanation_answer(const explanation& what);

} // namespace borageford::admin
