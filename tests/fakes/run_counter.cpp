// Counts runs in maps by request id, fingerprint of the body, and path.
#include "fakes/run_counter.hpp"

#include "support/answer_text.hpp"

#include <boost/json/object.hpp>

namespace borageford::test {

namespace {

boost::json::object to_json(const std::map<std::string, std::uint64_t>& counts) {
    boost::json::object out;
    for (const auto& [name, count] : counts) {
        out[name] = count;
    }
    return out;
}

} // namespace

std::string run_counter::count(const http::request& call) {
    const std::string id(http::find_header(call.headers, "X-Request-Id").value_or("none"));
    ++m_by_id[id];
    ++m_by_fingerprint[to_hex(fingerprint_of(call.body))];
    ++m_by_path[std::string(http::path_of(call.target))];
    ++m_total;
    return id;
}

void run_counter::describe(boost::json::object& out) const {
    out["runs"] = to_json(m_by_id);
    out["by_fingerprint"] = to_json(m_by_fingerprint);
    out["by_path"] = to_json(m_by_path);
    out["total"] = m_total;
}

} // namespace borageford::test
