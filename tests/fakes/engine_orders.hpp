// The orders that an engine takes: loading and unloading models and adapters, its role, and the fencing
// number that some engines check and others ignore.
#pragma once

#include "fakes/stand_in.hpp"

#include <boost/json/array.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace borageford::test {

/// Invariant: an engine that checks never obeys an order with a number lower than one that it obeyed.
class engine_orders {
public:
    /// `models` lists NAME or NAME@VERSION, separated by commas.
    engine_orders(std::string_view models, bool checks_fencing);

    [[nodiscard]] http::response obey(std::string_view json);
    [[nodiscard]] std::string describe_state() const;
    [[nodiscard]] const boost::json::array& received() const noexcept { return m_received; }
    [[nodiscard]] bool has_model(const std::string& name) const { return m_models.contains(name); }

private:
    bool m_checks_fencing;
    std::uint64_t m_fencing = 0;
    std::map<std::string, std::string> m_models; ///< name to version
    std::map<std::string, std::string> m_adapters;
    std::string m_role;
    boost::json::array m_received; ///< every order, with whether it was obeyed
};

} // namespace borageford::test
