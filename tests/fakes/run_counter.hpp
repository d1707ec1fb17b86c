// Counts every run that reaches a fake backend server, so that a test sees when a request ran twice.
#pragma once

#include "http/message.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace boost::json {
class object;
}

namespace borageford::test {

/// Invariant: counts only grow while the process runs.
class run_counter {
public:
    /// Counts a request under its X-Request-Id, its body's fingerprint and its path. Returns its
    /// X-Request-Id, or "none" without one.
    std::string count(const http::request& call);

    /// Adds the fields `runs` (by id), `by_fingerprint`, `by_path` and `total` to the object.
    void describe(boost::json::object& out) const;

private:
    std::map<std::string, std::uint64_t> m_by_id;
    std::map<std::string, std::uint64_t> m_by_fingerprint;
    std::map<std::string, std::uint64_t> m_by_path;
    std::uint64_t m_total = 0;
};

} // namespace borageford::test
