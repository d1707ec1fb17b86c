// Executes the orders that fake_engine receives: loading and unloading models and adapters, and setting its
// role. Orders carry a fencing number, which an engine may be configured to check or to ignore.
#pragma once

#include "fakes/fake_server_runner.hpp"

#include <boost/json/array.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace borageford::test {

/// Invariant: an engine that checks fencing numbers never executes an order whose number is lower than the
/// number of an order that it executed before.
class engine_orders {
public:
    /// `models` lists the loaded models as NAME or NAME@VERSION, separated by commas; the default version is
    /// "1".
    engine_orders(std::string_view models, bool checks_fencing);

    /// Executes an order. Answers 409 with the highest known fencing number for a stale order and 400 for an
    /// unknown kind; throws for malformed JSON.
    [[nodiscard]] http::response execute(std::string_view json);
    /// Models, adapters, role and fencing number as JSON.
    [[nodiscard]] std::string describe_state() const;
    /// All orders received so far, each with the added field "obeyed".
    [[nodiscard]] const boost::json::array& received() const noexcept { return m_received; }
    [[nodiscard]] bool has_model(const std::string& name) const { return m_models.contains(name); }

private:
    bool m_checks_fencing;
    std::uint64_t m_fencing = 0;                 ///< highest number of an executed order
    std::map<std::string, std::string> m_models; ///< name to version
    std::map<std::string, std::string> m_adapters;
    std::string m_role;
    boost::json::array m_received;
};

} // namespace borageford::test
