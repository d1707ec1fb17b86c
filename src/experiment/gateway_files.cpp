// Writes one settings file for each gateway, which listens on four consecutive ports.
#include "experiment/gateway_files.hpp"

#include "http/client.hpp"

#include <fstream>
#include <sstream>
#include <stdexcept>

namespace borageford::experiment {

namespace {

constexpr std::string_view first_start = "first_start = yes";

} // namespace

std::string gateway_file_text(const boost::asio::ip::tcp::endpoint& store,
                              std::span<const gateway_place> gateways, std::size_t index,
                              std::string_view further, std::chrono::milliseconds store_timeout) {
    const auto& place = gateways[index];
    const auto at = [&](unsigned offset) {
        return place.address.to_string() + ":" + std::to_string(place.first_port + offset);
    };
    std::ostringstream text;
    text << "[process]\nvm = gateway-" << index << "\nfailure_domain = a\nregion = r\nlog_format = json\n\n"
         << "[platform]\naddress = " << http::to_string(store) << "\ntimeout = " << store_timeout.count()
         << "ms\n\n"
         << "[gateway]\ncallers_listen = " << at(0) << "\nreadiness_listen = " << at(1)
         << "\npeers_listen = " << at(2) << "\nmetrics_listen = " << at(3) << "\nseeds = ";
    for (std::size_t other = 0; other < gateways.size(); ++other) {
        text << (other > 0 ? ", " : "") << gateways[other].address.to_string();
    }
    text << '\n' << first_start << '\n' << further;
    return text.str();
}

void note_earlier_start(const std::filesystem::path& settings) {
    std::ostringstream content;
    content << std::ifstream(settings).rdbuf();
    auto text = content.str();
    const auto found = text.find(first_start);
    if (found != std::string::npos) {
        text.replace(found, first_start.size(), "first_start = no");
        std::ofstream(settings) << text;
    }
}

std::vector<std::filesystem::path> write_gateway_files(const experiment_plan& plan,
                                                       const std::filesystem::path& folder) {
    std::filesystem::create_directories(folder);
    std::vector<std::filesystem::path> result;
    for (std::size_t index = 0; index < plan.gateways.size(); ++index) {
        const auto path = folder / ("gateway-" + std::to_string(index) + ".ini");
        std::ofstream file(path);
        file << gateway_file_text(plan.store, plan.gateways, index, plan.gateway_settings);
        file.close();
        if (!file) {
            throw std::runtime_error("can't write " + path.string());
        }
        result.push_back(path);
    }
    return result;
}

} // namespace borageford::experiment
