// Writes plots with linear scales as SVG shapes and texts.
#include "experiment/svg_plot.hpp"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <sstream>

namespace borageford::experiment {

namespace {

// Lengths are in pixels.
constexpr double width = 900;
constexpr double height = 260;
constexpr double left_margin = 60;
constexpr double right_margin = 150;
constexpr double top_margin = 30;
constexpr double bottom_margin = 30;
constexpr double legend_step = 16;
constexpr int axis_steps = 4; ///< intervals between the lines of the vertical axis

std::string escape(std::string_view text) {
    std::string result;
    for (const char c : text) {
        switch (c) {
        case '<':
            result += "&lt;";
            break;
        case '>':
            result += "&gt;";
            break;
        case '&':
            result += "&amp;";
            break;
        case '"':
            result += "&quot;";
            break;
        default:
            result += c;
        }
    }
    return result;
}

/// Writes one plot, whose upper edge is `top` pixels below the upper edge of the document.
class plot_writer {
public:
    plot_writer(std::ostringstream& out, const plot& what, double top)
        : m_out(out), m_plot(what), m_top(top) {
        for (const auto& series : m_plot.lines) {
            count_steps(series);
            for (const double value : series.values) {
                m_highest = std::max(m_highest, value);
            }
        }
        for (const auto& series : m_plot.stacked) {
            count_steps(series);
        }
        for (std::size_t step = 0; step < m_steps; ++step) {
            m_highest = std::max(m_highest, stacked_up_to(m_plot.stacked.size(), step));
        }
    }

    void write() {
        text(left_margin, m_top + 18, m_plot.title, "start", 14);
        write_axes();
        for (std::size_t index = 0; index < m_plot.stacked.size(); ++index) {
            write_area(index);
        }
        for (const auto& series : m_plot.lines) {
            write_line(series);
        }
        write_marks();
        write_legend();
    }

private:
    void count_steps(const plot_series& series) { m_steps = std::max(m_steps, series.values.size()); }

    /// The sum of the first `count` stacked series at a step.
    [[nodiscard]] double stacked_up_to(std::size_t count, std::size_t step) const {
        double sum = 0;
        for (std::size_t index = 0; index < count; ++index) {
            const auto& values = m_plot.stacked[index].values;
            sum += step < values.size() ? values[step] : 0;
        }
        return sum;
    }

    [[nodiscard]] double x_of(double step) const {
        const double inner = width - left_margin - right_margin;
        return left_margin + inner * step / static_cast<double>(std::max<std::size_t>(1, m_steps - 1));
    }
    [[nodiscard]] double y_of(double value) const {
        const double inner = height - top_margin - bottom_margin;
        return m_top + height - bottom_margin - inner * (m_highest > 0 ? value / m_highest : 0);
    }

    void text(double x, double y, std::string_view what, std::string_view anchor, int size) {
        m_out << "<text x=\"" << x << "\" y=\"" << y << "\" text-anchor=\"" << anchor << "\" font-size=\""
              << size << "\">" << escape(what) << "</text>\n";
    }

    void write_axes() {
        for (int step = 0; step <= axis_steps; ++step) {
            const double value = m_highest * step / axis_steps;
            m_out << "<line x1=\"" << left_margin << "\" x2=\"" << width - right_margin << "\" y1=\""
                  << y_of(value) << "\" y2=\"" << y_of(value) << "\" stroke=\"#ddd\"/>\n";
            std::ostringstream label;
            label << std::setprecision(3) << value;
            text(left_margin - 6, y_of(value) + 4, label.str(), "end", 11);
        }
        text(left_margin - 6, m_top + 18, m_plot.unit, "end", 11);
        const auto seconds = m_steps > 0 ? m_steps - 1 : 0;
        text(left_margin, m_top + height - 8, "0 s", "middle", 11);
        text(width - right_margin, m_top + height - 8, std::to_string(seconds) + " s", "middle", 11);
    }

    void write_area(std::size_t index) {
        m_out << "<polygon fill=\"" << m_plot.stacked[index].colour << "\" points=\"";
        for (std::size_t step = 0; step < m_steps; ++step) {
            m_out << x_of(static_cast<double>(step)) << ',' << y_of(stacked_up_to(index + 1, step)) << ' ';
        }
        for (std::size_t step = m_steps; step-- > 0;) {
            m_out << x_of(static_cast<double>(step)) << ',' << y_of(stacked_up_to(index, step)) << ' ';
        }
        m_out << "\"/>\n";
    }

    void write_line(const plot_series& series) {
        m_out << "<polyline fill=\"none\" stroke-width=\"1.5\" stroke=\"" << series.colour << "\" points=\"";
        for (std::size_t step = 0; step < series.values.size(); ++step) {
            m_out << x_of(static_cast<double>(step)) << ',' << y_of(series.values[step]) << ' ';
        }
        m_out << "\"/>\n";
    }

    void write_marks() {
        for (const auto& [step, what] : m_plot.marks) {
            m_out << "<line stroke=\"#888\" stroke-dasharray=\"3\" x1=\"" << x_of(step) << "\" x2=\""
                  << x_of(step) << "\" y1=\"" << m_top + top_margin << "\" y2=\""
                  << m_top + height - bottom_margin << "\"><title>" << escape(what) << "</title></line>\n";
        }
    }

    void write_legend() {
        double y = m_top + top_margin + legend_step;
        const auto write_entry = [&](const plot_series& series) {
            m_out << "<rect width=\"10\" height=\"10\" x=\"" << width - right_margin + 10 << "\" y=\""
                  << y - 9 << "\" fill=\"" << series.colour << "\"/>\n";
            text(width - right_margin + 26, y, series.name, "start", 11);
            y += legend_step;
        };
        std::ranges::for_each(m_plot.stacked, write_entry);
        std::ranges::for_each(m_plot.lines, write_entry);
    }

    std::ostringstream& m_out;
    const plot& m_plot;
    double m_top;
    std::size_t m_steps = 0;
    double m_highest = 0;
};

} // namespace

std::string draw(const std::vector<plot>& plots) {
    std::ostringstream out;
    out << std::fixed << std::setprecision(1);
    out << "<svg xmlns=\"http://www.w3.org/2000/svg\" font-family=\"sans-serif\" width=\"" << width
        << "\" height=\"" << height * static_cast<double>(plots.size()) << "\">\n";
    double top = 0;
    for (const auto& what : plots) {
        plot_writer(out, what, top).write();
        top += height;
    }
    out << "</svg>\n";
    return out.str();
}

} // namespace borageford::experiment
