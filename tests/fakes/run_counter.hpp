// Counts every run that reaches a stand-in, so that a second run of a request is seen where it happens.
#pragma once

#include "http/message.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace boost::json {
class object;
}

namespace borageford::test {

class run_counter {
public:
    /// Counts a request by its X-Request-Id, its body and its path; returns its id ("none" without one).
    std::string count(const http::request& call);

    /// Adds `runs`, `by_fingerprint`, `by_path` and `total`.
    void describe(boost::json::object& out) const;

private:
    std::map<std::string, std::uint64_t> m_by_id;
    std::map<std::string, std::uint64_t> m_by_fingerprint;
    std::map<std::string, std::uint64_t> m_by_path;
    std::uint64_t m_total = 0;
};

} // namespace borageford::test
