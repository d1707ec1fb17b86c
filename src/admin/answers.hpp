// Functions that build the HTTP responses of the administration API.
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

/// A sentence that tells the operator what to do about an error of this kind.
[[nodiscard]] std::string_view remedy_for(error_kind kind) noexcept;

[[nodiscard]] http::response error_answer(const request_error& error);
[[nodiscard]] http::response problems_answer(const std::vector<settings::problem>& problems);
[[nodiscard]] http::response plan_answer(const configuration::plan& what);
/// The response to a confirmation or a drain. A conflict is an error response that names the revision that
/// was committed instead of the plan.
[[nodiscard]] http::response commit_answer(const confirm_result& result);
/// A list of revisions without the text of their intent files.
[[nodiscard]] http::response revisions_answer(const std::vector<configuration::revision_row>& revisions);
/// One revision including the text of its intent file.
[[nodiscard]] http::response revision_answer(const configuration::revision_row& revision);

/// The state of the configuration in the whole system, as seen by one entry.
struct system_status {
    std::string entry;                                  ///< the VM of the entry that answers the call
    configuration::revision_number held = 0;            ///< revision in force at that entry
    std::optional<configuration::revision_number> head; ///< newest in the table; nothing: no answer
    std::vector<node_revision> nodes;
    std::optional<configuration::spread_row> spread; ///< measurement for revision `held`, if there is one
};
[[nodiscard]] http::response status_answer(const system_status& status);

/// The configured backend servers, each with its state if `states` contains it.
[[nodiscard]] http::response servers_answer(const configuration::configuration& current,
                                            const std::vector<backend_server_state>& states);
/// The limits of all workspaces, with the present use of each.
[[nodiscard]] http::response limits_answer(const configuration::configuration& current,
                                           const std::vector<configuration::workspace_use>& use);
[[nodiscard]] http::response quarantine_answer(const std::vector<marked_request>& requests);
[[nodiscard]] http::response released_answer(std::string_view fingerprint);
/// The explanation of one request, or a list of requests.
[[nodiscard]] http::response explanation_answer(const explanation& what);

} // namespace borageford::admin
