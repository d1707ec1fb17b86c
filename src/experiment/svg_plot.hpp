// A plot over time as SVG: stacked shares, and lines over them.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace borageford::experiment {

/// Values at equal steps of time; the same number in all series of a plot.
struct plot_series {
    std::string name;
    std::string colour; ///< as SVG takes it
    std::vector<double> values;
};

struct plot {
    std::string title;
    std::string unit; ///< of the vertical axis
    std::vector<plot_series> stacked;
    std::vector<plot_series> lines;
    std::vector<std::pair<double, std::string>> marks; ///< at a step, what happened
};

/// A whole SVG document with the plots under each other.
[[nodiscard]] std::string draw(const std::vector<plot>& plots);

} // namespace borageford::experiment
