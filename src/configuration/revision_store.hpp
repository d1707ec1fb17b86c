// The configuration's history at the platform: revisions are committed once, each on top of the last, and
// never changed.
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
    accepted,         ///< the plan is this revision
    already_accepted, ///< it had been accepted before, by an earlier confirm of the same plan
    conflict,         ///< another plan became the revision that this one was made for
};

struct commit_result {
    commit_verdict verdict = commit_verdict::accepted;
    revision_row revision; ///< the plan's own, or the one that came between
};

/// How long a revision took to be in force everywhere, as the entry that confirmed it saw it.
struct spread_row {
    revision_number revision = 0;
    std::uint64_t nodes = 0;         ///< live nodes that were asked
    std::uint64_t milliseconds = 0;  ///< from the commit until the last of them was seen to hold it
    std::vector<std::string> behind; ///< those that weren't seen to hold it
};

/// Every call throws store::store_error when the platform doesn't answer, and std::runtime_error when
/// a row can't be read.
class revision_store {
public:
    revision_store(store::table& table, store::object_store& objects) : m_table(table), m_objects(objects) {}

    /// The newest revision that a read shows; 0 when there is none. A stale read may show an older one.
    boost::asio::awaitable<revision_number> read_head();

    boost::asio::awaitable<std::optional<revision_row>> read_revision(revision_number revision);

    /// Up to `limit` revisions, from `first` on, in order.
    boost::asio::awaitable<std::vector<revision_row>> list_revisions(revision_number first,
                                                                     std::size_t limit);

    /// Keeps a plan so that any entry can confirm it.
    boost::asio::awaitable<void> keep_plan(const plan& what);
    boost::asio::awaitable<std::optional<plan>> find_plan(std::string id);

    /// Makes the plan revision `base + 1`, unless that revision exists. May be called again for the same
    /// plan: it is accepted at most once. Throws request_error(outcome_unknown) when the commit's answer was
    /// lost and reading back didn't tell either; calling again is safe.
    boost::asio::awaitable<commit_result> commit(const plan& what, std::string operator_name);

    boost::asio::awaitable<void> keep_spread(const spread_row& spread);
    boost::asio::awaitable<std::optional<spread_row>> read_spread(revision_number revision);

private:
    boost::asio::awaitable<std::optional<commit_result>> read_back(const plan& what, bool is_repeat);

    store::table& m_table;
    store::object_store& m_objects;
};

} // namespace borageford::configuration
