// Draws plots over time as SVG, with stacked areas and with lines.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace borageford::experiment {

/// One value for each second.
struct plot_series {
    std::string name;
    std::string colour; ///< an SVG colour, for example "#4a9"
    std::vector<double> values;
};

/// One plot: areas stacked on each other, and lines drawn over them.
struct plot {
    std::string title;
    std::string unit; ///< of the vertical axis
    std::vector<plot_series> stacked;
    std::vector<plot_series> lines;
    std::vector<std::pair<double, std::string>>
        marks; ///< events to mark: the time in seconds and a description
};

/// Returns an SVG document with the plots below each other.
[[nodiscard]] std::string draw(const std::vector<plot>& plots);

} // namespace borageford::experiment
