// Keeps the last description of each VM with the version at which it changed.
#include "fakes/vm_list.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <set>

namespace borageford::test {

namespace json = boost::json;

void vm_list::replace(const json::array& machines) {
    std::set<std::string> listed;
    for (const auto& machine : machines) {
        const std::string name(machine.at("name").as_string());
        listed.insert(name);
        put(name, json::serialize(machine));
    }
    for (const auto& [name, known] : m_machines) {
        if (listed.contains(name)) {
            continue;
        }
        auto machine = json::parse(known.description);
        machine.as_object()["state"] = "gone";
        put(name, json::serialize(machine));
    }
}

std::string vm_list::changes_since(std::uint64_t version) const {
    json::array changed;
    for (const auto& [name, known] : m_machines) {
        if (known.changed > version) {
            changed.push_back(json::parse(known.description));
        }
    }
    return json::serialize(json::object{{"version", m_version}, {"vms", changed}});
}

void vm_list::put(const std::string& name, const std::string& description) {
    auto& known = m_machines[name];
    if (known.description != description) {
        known = {description, ++m_version};
    }
}

} // namespace borageford::test
