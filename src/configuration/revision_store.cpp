// Implements revision_store: commits that are safe to repeat after a lost answer, and reads of revisions.
#include "configuration/revision_store.hpp"

#include "base/request_error.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <utility>

namespace borageford::configuration {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr unsigned commit_attempts = 4;
constexpr std::string_view plan_prefix = "configuration/plan/";
constexpr std::string_view spread_prefix = "configuration/spread/";

store::transaction commit_transaction(const plan& what, const revision_row& row) {
    store::transaction changes;
    // Revision numbers have no gaps and their rows are never deleted, so if row `base + 1` doesn't exist, the
    // base is still the newest revision. Unlike a condition on the head row's version, this condition needs
    // no read before the commit. A condition with version 0 requires that the row doesn't exist.
    changes.conditions.push_back({revision_key(row.revision), 0});
    changes.puts.push_back({revision_key(row.revision), encode(row)});
    changes.puts.push_back(
        {std::string(head_key), encode(head_row{row.revision, what.id, row.operator_name})});
    return changes;
}

std::string spread_key(revision_number revision) {
    return std::string(spread_prefix) + revision_key(revision).substr(revision_prefix.size());
}

} // namespace

asio::awaitable<revision_number> revision_store::read_head() {
    const auto head = co_await m_table.read(head_key);
    co_return head ? decode_head(head->value).revision : 0;
}

asio::awaitable<std::optional<revision_row>> revision_store::read_revision(revision_number revision) {
    const auto row = co_await m_table.read(revision_key(revision));
    if (!row) {
        co_return std::nullopt;
    }
    co_return decode_revision(row->value);
}

asio::awaitable<std::vector<revision_row>> revision_store::list_revisions(revision_number first,
                                                                          std::size_t limit) {
    const auto after = first == 0 ? std::string() : revision_key(first - 1);
    const auto rows = co_await m_table.scan(revision_prefix, after, limit);
    std::vector<revision_row> revisions;
    revisions.reserve(rows.size());
    for (const auto& row : rows) {
        revisions.push_back(decode_revision(row.value));
    }
    co_return revisions;
}

asio::awaitable<void> revision_store::store_plan(const plan& what) {
    co_await m_objects.put(std::string(plan_prefix) + what.id, encode(what));
}

asio::awaitable<std::optional<plan>> revision_store::find_plan(std::string id) {
    const auto bytes = co_await m_objects.get(std::string(plan_prefix) + id);
    if (!bytes) {
        co_return std::nullopt;
    }
    co_return decode_plan(*bytes);
}

asio::awaitable<commit_result> revision_store::commit(const plan& what, std::string operator_name) {
    const revision_row row{what.base + 1, what.id, std::move(operator_name), current_time_text(), what.text};
    const auto changes = commit_transaction(what, row);
    bool may_have_taken_effect = false;
    for (unsigned attempt = 0; attempt < commit_attempts; ++attempt) {
        std::optional<store::transaction_result> result;
        try {
            result = co_await m_table.transact(changes);
        } catch (const store::store_error& error) {
            // A refused attempt changed nothing, but an earlier attempt whose answer was lost may have.
            if (error.possible_effect() == store::effect::none && !may_have_taken_effect) {
                throw;
            }
            may_have_taken_effect = true;
        }
        if (result && result->committed) {
            co_return commit_result{commit_verdict::accepted, row};
        }
        // Either the answer was lost, or revision `base + 1` exists already. Reading the row shows whether it
        // is this plan's, from an attempt whose answer was lost, or another plan's.
        auto found = co_await read_back(what, !may_have_taken_effect);
        if (found) {
            co_return std::move(*found);
        }
    }
    throw request_error(error_kind::outcome_unknown,
                        "whether plan " + what.id +
                            " was accepted can't be read at present; confirm it again: it is accepted once");
}

asio::awaitable<std::optional<commit_result>> revision_store::read_back(const plan& what, bool is_repeat) {
    std::optional<revision_row> row;
    try {
        row = co_await read_revision(what.base + 1);
    } catch (const store::store_error&) {
        co_return std::nullopt;
    }
    // A stale read may miss a row that exists; the next attempt to commit then finds out.
    if (!row) {
        co_return std::nullopt;
    }
    commit_result result;
    result.verdict = commit_verdict::conflict;
    if (row->plan == what.id) {
        result.verdict = is_repeat ? commit_verdict::already_accepted : commit_verdict::accepted;
    }
    result.revision = std::move(*row);
    co_return result;
}

asio::awaitable<void> revision_store::store_spread(const spread_row& spread) {
    json::object value{
        {"revision", spread.revision}, {"nodes", spread.nodes}, {"milliseconds", spread.milliseconds}};
    value["behind"] = json::value_from(spread.behind);
    store::transaction changes;
    changes.puts.push_back({spread_key(spread.revision), json::serialize(value)});
    co_await m_table.transact(changes);
}

asio::awaitable<std::optional<spread_row>> revision_store::read_spread(revision_number revision) {
    const auto row = co_await m_table.read(spread_key(revision));
    if (!row) {
        co_return std::nullopt;
    }
    const auto from = json::parse(row->value);
    spread_row spread;
    spread.revision = from.at("revision").to_number<revision_number>();
    spread.nodes = from.at("nodes").to_number<std::uint64_t>();
    spread.milliseconds = from.at("milliseconds").to_number<std::uint64_t>();
    spread.behind = json::value_to<std::vector<std::string>>(from.at("behind"));
    co_return spread;
}

} // namespace borageford::configuration
