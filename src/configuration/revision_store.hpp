// Stores the configuration's revisions and plans on the platform. Revisions have consecutive numbers; each is
// committed once, on top of the one before, and never changed.
#pragma once

#include "configuration/plan.hpp"
#include "configuration/revision_rows.hpp"
#include "store/object_store.hpp"
#include "store/table.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace borageford::configuration {

enum class commit_verdict : std::uint8_t {
    accepted,         ///< the plan became revision `base + 1`
    already_accepted, ///< an earlier confirmation of the same plan had already made it revision `base + 1`
    conflict,         ///< another plan became revision `base + 1` first
};

struct commit_result {
    commit_verdict verdict = commit_verdict::accepted;
    revision_row revision; ///< revision `base + 1`: the plan's own or, in a conflict, the other plan's
};

/// How long a revision took to be in force on all live nodes, measured by the entry that confirmed it.
struct spread_row {
    revision_number revision = 0;
    std::uint64_t nodes = 0;         ///< live nodes that were asked for their revision
    std::uint64_t milliseconds = 0;  ///< from the commit to the end of the last survey of the nodes
    std::vector<std::string> behind; ///< VMs that didn't confirm the revision; empty: in force on all nodes
};

/// Reads and commits revisions. Each member function throws store::store_error if the platform doesn't
/// answer, and std::runtime_error if a row can't be decoded.
class revision_store {
public:
    revision_store(store::table& table, store::object_store& objects) : m_table(table), m_objects(objects) {}

    /// Number of the newest revision according to the head row; 0 if there is none. The read may be stale and
    /// return an older revision.
    boost::asio::awaitable<revision_number> read_head();

    boost::asio::awaitable<std::optional<revision_row>> read_revision(revision_number revision);

    /// At most `limit` revisions in increasing order, starting with number `first`.
    boost::asio::awaitable<std::vector<revision_row>> list_revisions(revision_number first,
                                                                     std::size_t limit);

    /// Stores a plan in the object store, so that every entry can confirm it.
    boost::asio::awaitable<void> store_plan(const plan& what);
    boost::asio::awaitable<std::optional<plan>> find_plan(std::string id);

    /// Commits the plan as revision `base + 1`, unless that revision exists. May be called again for the same
    /// plan: it is accepted at most once. Throws request_error(outcome_unknown) if the answer to the commit
    /// was lost and reading the revision back didn't show whether the commit took effect.
    boost::asio::awaitable<commit_result> commit(const plan& what, std::string operator_name);

    /// Stores the measurement, so that the status shown by other entries includes it.
    boost::asio::awaitable<void> store_spread(const spread_row& spread);
    boost::asio::awaitable<std::optional<spread_row>> read_spread(revision_number revision);

private:
    /// Reads revision `base + 1` to find out what became of a commit; nothing if the read fails or shows no
    /// such revision. `is_repeat`: if the revision is this plan's, an earlier confirmation committed it.
    boost::asio::awaitable<std::optional<commit_result>> read_back(const plan& what, bool is_repeat);

    store::table& m_table;
    store::object_store& m_objects;
};

} // namespace borageford::configuration
