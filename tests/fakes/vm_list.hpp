// The fake platform's list of VMs, which can be read as changes since a version. fake_platform adds the lag.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace boost::json {
class array;
class value;
} // namespace boost::json

namespace borageford::test {

/// Invariant: the version grows by one with each VM whose description changes.
class vm_list {
public:
    /// Replaces the list. A VM that the new list leaves out is listed with the state "gone"; a VM whose
    /// description is unchanged keeps its version.
    void replace(const boost::json::array& machines);

    /// The current version and the VMs that changed after this version, as the JSON that GET /vms answers.
    [[nodiscard]] std::string changes_since(std::uint64_t version) const;

private:
    /// A VM and the version at which it last changed.
    struct entry {
        std::string description; ///< the VM's JSON object
        std::uint64_t changed = 0;
    };

    void put(const std::string& name, const std::string& description);

    std::map<std::string, entry> m_machines;
    std::uint64_t m_version = 0;
};

} // namespace borageford::test
