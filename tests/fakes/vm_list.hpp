// The platform's list of VMs, which tells of every change after a lag.
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

class vm_list {
public:
    /// Puts a whole new list in force; a VM that it leaves out is shown as gone. Unchanged ones stay.
    void replace(const boost::json::array& machines);

    /// The VMs that changed after this version, as the interface describes.
    [[nodiscard]] std::string changes_since(std::uint64_t version) const;

private:
    struct entry {
        std::string description; ///< the VM's JSON object
        std::uint64_t changed = 0;
    };

    void put(const std::string& name, const std::string& description);

    std::map<std::string, entry> m_machines;
    std::uint64_t m_version = 0;
};

} // namespace borageford::test
