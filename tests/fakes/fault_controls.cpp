// Reads fault controls from the JSON of POST /control.
#include "fakes/fault_controls.hpp"

#include <boost/json/parse.hpp>

#include <cstdlib>
#include <stdexcept>

namespace borageford::test {

namespace {

std::optional<std::uint32_t> optional_number(const boost::json::value& value) {
    if (value.is_null()) {
        return std::nullopt;
    }
    return value.to_number<std::uint32_t>();
}

} // namespace

void fault_controls::apply(std::string_view json) {
    const auto parsed = boost::json::parse(boost::json::string_view(json.data(), json.size()));
    for (const auto& [name, value] : parsed.as_object()) {
        if (name == "slowdown") {
            slowdown = value.to_number<double>();
        } else if (name == "stall_after") {
            stall_after = optional_number(value);
        } else if (name == "garble") {
            garble = value.as_bool();
        } else if (name == "refuse") {
            refuse = value.as_bool();
        } else if (name == "cut") {
            cut = value.as_bool();
        } else if (name == "crash_on") {
            crash_on = value.is_null() ? std::string() : std::string(value.as_string());
        } else if (name == "lag_ms") {
            lag_ms = optional_number(value);
        } else {
            throw std::invalid_argument("unknown control " + std::string(name));
        }
    }
}

void fault_controls::crash_if_asked(std::string_view body) const {
    if (!crash_on.empty() && body.find(crash_on) != std::string_view::npos) {
        std::_Exit(EXIT_FAILURE);
    }
}

} // namespace borageford::test
