#include "expert/render.hpp"

#include <cairo-svg.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <functional>
#include <limits>
#include <string_view>

namespace chivewinch::expert {

namespace internal {

constexpr double marginLeft = 64;
constexpr double marginRight = 16;
constexpr double marginTop = 36;
constexpr double marginBottom = 48;
constexpr double fontSize = 12;
constexpr double markerRadius = 3;
constexpr std::size_t maxMarkers = 50;
constexpr int ticks = 5;

struct Colour {
    double red = 0;
    double green = 0;
    double blue = 0;
};

constexpr std::array<Colour, 5> palette { { { 0.12, 0.37, 0.71 }, { 0.80, 0.30, 0.10 }, { 0.15, 0.55, 0.25 },
    { 0.50, 0.25, 0.60 }, { 0.35, 0.35, 0.35 } } };

struct Axis {
    double low = std::numeric_limits<double>::infinity();
    double high = -std::numeric_limits<double>::infinity();

    void include(double value)
    {
        this->low = std::min(this->low, value);
        this->high = std::max(this->high, value);
    }

    [[nodiscard]] double fraction(double value) const
    {
        return this->high > this->low ? (value - this->low) / (this->high - this->low) : 0.5;
    }

    [[nodiscard]] double at(double fraction) const { return this->low + fraction * (this->high - this->low); }
};

cairo_status_t appendBytes(void* closure, const unsigned char* data, unsigned int length)
{
    static_cast<std::string*>(closure)->append(reinterpret_cast<const char*>(data), length);
    return CAIRO_STATUS_SUCCESS;
}

/** Drawing surface and its labels. Labels are written as SVG text, so that rendering needs no installed font. */
struct Canvas {
    cairo_t* context = nullptr;
    Colour colour;
    std::string labels;
};

/** Removes the numbers that cairo gives to the surfaces of a process, so that equal plots give equal text. */
std::string withoutSurfaceNumbers(std::string_view svg)
{
    constexpr std::string_view name = "surface";
    std::string out;
    out.reserve(svg.size());
    for (auto place = svg.find(name); place != std::string_view::npos; place = svg.find(name)) {
        out += svg.substr(0, place + name.size());
        svg.remove_prefix(place + name.size());
        svg.remove_prefix(std::min(svg.find_first_not_of("0123456789"), svg.size()));
    }
    out += svg;
    return out;
}

std::string withLabels(std::string svg, const std::string& labels)
{
    const auto end = svg.rfind("</svg>");
    return end == std::string::npos ? std::string {} : svg.insert(end, labels);
}

/** Calls `drawing` with an SVG surface. Returns the SVG text; empty when cairo fails. */
std::string draw(const PlotOptions& options, const std::function<void(Canvas&)>& drawing)
{
    std::string out;
    auto* surface = cairo_svg_surface_create_for_stream(appendBytes, &out, options.width, options.height);
    Canvas canvas { .context = cairo_create(surface), .colour = {}, .labels = {} };
    cairo_set_source_rgb(canvas.context, 1, 1, 1);
    cairo_paint(canvas.context);
    drawing(canvas);
    const bool failed = cairo_status(canvas.context) != CAIRO_STATUS_SUCCESS;
    cairo_destroy(canvas.context);
    cairo_surface_finish(surface);
    const bool unfinished = cairo_surface_status(surface) != CAIRO_STATUS_SUCCESS;
    cairo_surface_destroy(surface);
    return failed || unfinished ? std::string {} : withLabels(withoutSurfaceNumbers(out), canvas.labels);
}

void setColour(Canvas& canvas, const Colour& colour)
{
    canvas.colour = colour;
    cairo_set_source_rgb(canvas.context, colour.red, colour.green, colour.blue);
}

std::string escaped(std::string_view value)
{
    std::string out;
    for (const auto letter : value) {
        if (letter == '&')
            out += "&amp;";
        else if (letter == '<')
            out += "&lt;";
        else
            out += letter;
    }
    return out;
}

enum class Anchor : std::uint8_t { Start, Middle, End };

/** Adds a label whose anchor point is at (x, y). */
void text(Canvas& canvas, double x, double y, Anchor anchor, const std::string& value)
{
    constexpr std::array<const char*, 3> anchors { "start", "middle", "end" };
    constexpr double maxLevel = 255;
    const auto level = [](double part) { return static_cast<unsigned>(std::lround(part * maxLevel)); };
    std::array<char, 256> buffer {};
    std::snprintf(buffer.data(), buffer.size(),
        "<text x=\"%.2f\" y=\"%.2f\" text-anchor=\"%s\" font-family=\"sans-serif\" font-size=\"%g\" "
        "fill=\"#%02x%02x%02x\">",
        x, y, anchors[static_cast<std::size_t>(anchor)], fontSize, level(canvas.colour.red), level(canvas.colour.green),
        level(canvas.colour.blue));
    canvas.labels += buffer.data() + escaped(value) + "</text>\n";
}

std::string number(double value)
{
    std::array<char, 32> buffer {};
    std::snprintf(buffer.data(), buffer.size(), "%.4g", value);
    return buffer.data();
}

class Plot {
public:
    Plot(Canvas& canvas, const PlotOptions& options, Axis x, Axis y)
        : canvas { canvas }
        , options { options }
        , x { x }
        , y { y }
    {
    }

    [[nodiscard]] double left(double value) const
    {
        return marginLeft + this->x.fraction(value) * (this->options.width - marginLeft - marginRight);
    }

    [[nodiscard]] double top(double value) const
    {
        return this->options.height - marginBottom
            - this->y.fraction(value) * (this->options.height - marginTop - marginBottom);
    }

    void frame() const
    {
        setColour(this->canvas, { 0.2, 0.2, 0.2 });
        text(this->canvas, this->options.width / 2, marginTop / 2, Anchor::Middle, this->options.title);
        text(this->canvas, this->options.width / 2, this->options.height - fontSize, Anchor::Middle,
            this->options.xLabel);
        text(this->canvas, fontSize, marginTop - fontSize / 2, Anchor::Start, this->options.yLabel);
        for (int tick = 0; tick <= ticks; ++tick) {
            const auto fraction = static_cast<double>(tick) / ticks;
            this->xTick(this->x.at(fraction));
            this->yTick(this->y.at(fraction));
        }
    }

    void line(const Series& series, const Colour& colour) const
    {
        setColour(this->canvas, colour);
        cairo_set_line_width(this->canvas.context, 1.5);
        cairo_new_path(this->canvas.context);
        for (std::size_t i = 0; i < series.x.size(); ++i)
            cairo_line_to(this->canvas.context, this->left(series.x[i]), this->top(series.y[i]));
        cairo_stroke(this->canvas.context);
        for (std::size_t i = 0; i < series.x.size() && series.x.size() <= maxMarkers; ++i) {
            cairo_arc(this->canvas.context, this->left(series.x[i]), this->top(series.y[i]), markerRadius, 0, 2 * M_PI);
            cairo_fill(this->canvas.context);
        }
    }

private:
    void xTick(double value) const
    {
        const auto shown = this->options.logarithmicX ? std::pow(10, value) : value;
        text(this->canvas, this->left(value), this->options.height - marginBottom + 1.5 * fontSize, Anchor::Middle,
            number(shown));
    }

    void yTick(double value) const
    {
        const auto height = this->top(value);
        text(this->canvas, marginLeft - fontSize / 2, height + fontSize / 3, Anchor::End, number(value));
        cairo_set_line_width(this->canvas.context, 0.3);
        cairo_move_to(this->canvas.context, marginLeft, height);
        cairo_line_to(this->canvas.context, this->options.width - marginRight, height);
        cairo_stroke(this->canvas.context);
    }

    Canvas& canvas;
    const PlotOptions& options;
    Axis x;
    Axis y;
};

/** Replaces x by its decimal logarithm. Values of 0 are placed one decade left of the smallest positive value. */
std::vector<Series> logarithmic(std::span<const Series> series)
{
    double smallest = 1;
    for (const auto& each : series) {
        for (const auto x : each.x)
            smallest = x > 0 ? std::min(smallest, x) : smallest;
    }
    std::vector<Series> result { series.begin(), series.end() };
    for (auto& each : result) {
        for (auto& x : each.x)
            x = std::log10(x > 0 ? x : smallest / 10);
    }
    return result;
}

} // namespace internal

std::string renderSvg(std::span<const Series> series, const PlotOptions& options)
{
    const auto shown
        = options.logarithmicX ? internal::logarithmic(series) : std::vector<Series> { series.begin(), series.end() };
    internal::Axis x;
    internal::Axis y;
    for (const auto& each : shown) {
        std::ranges::for_each(each.x, [&](double value) { x.include(value); });
        std::ranges::for_each(each.y, [&](double value) { y.include(value); });
    }
    return internal::draw(options, [&](internal::Canvas& canvas) {
        if (shown.empty() || x.high < x.low)
            return;
        const internal::Plot plot { canvas, options, x, y };
        plot.frame();
        for (std::size_t i = 0; i < shown.size(); ++i) {
            const auto& colour = internal::palette[i % internal::palette.size()];
            plot.line(shown[i], colour);
            const auto height = internal::marginTop + internal::fontSize * (1.5 * static_cast<double>(i) + 1);
            internal::text(
                canvas, options.width - internal::marginRight, height, internal::Anchor::End, shown[i].label);
        }
    });
}

std::string renderSvg(std::span<const double> loads, const PlotOptions& options)
{
    internal::Axis x { 0, static_cast<double>(std::max<std::size_t>(loads.size(), 1)) };
    internal::Axis y { 0, 1 };
    std::ranges::for_each(loads, [&](double value) { y.include(value); });
    return internal::draw(options, [&](internal::Canvas& canvas) {
        const internal::Plot plot { canvas, options, x, y };
        plot.frame();
        internal::setColour(canvas, internal::palette[0]);
        for (std::size_t rank = 0; rank < loads.size(); ++rank) {
            const auto left = plot.left(static_cast<double>(rank));
            const auto width = plot.left(static_cast<double>(rank + 1)) - left;
            cairo_rectangle(
                canvas.context, left, plot.top(loads[rank]), 0.9 * width, plot.top(0) - plot.top(loads[rank]));
        }
        cairo_fill(canvas.context);
        internal::setColour(canvas, internal::palette[1]);
        cairo_move_to(canvas.context, plot.left(x.low), plot.top(1));
        cairo_line_to(canvas.context, plot.left(x.high), plot.top(1));
        cairo_stroke(canvas.context);
    });
}

} // namespace chivewinch::expert
