#include "expert/layer_balance.hpp"
#include "expert/render.hpp"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <sstream>

namespace chivewinch::expert {

std::vector<double> rankLoads(const ExpertMap& map, const LoadEstimator& estimator)
{
    const auto& shape = map.shape();
    std::vector<double> loads(shape.ranks);
    for (std::uint32_t index = 0; index < shape.layers; ++index) {
        const LayerBalance balance { shape, map.layer(index), estimator.layer(index).load };
        for (std::uint32_t rank = 0; rank < shape.ranks; ++rank)
            loads[rank] += balance.rankLoads()[rank] * shape.ranks / shape.layers;
    }
    return loads;
}

std::string renderBars(std::span<const double> loads, const BarOptions& options)
{
    const auto rows = std::min<std::size_t>(loads.size(), std::max(options.maxRows, 1U));
    const auto largest = loads.empty() ? 0 : *std::ranges::max_element(loads);
    std::ostringstream out;
    out << std::fixed << std::setprecision(3);
    for (std::size_t row = 0; row < rows; ++row) {
        const auto first = row * loads.size() / rows;
        const auto last = (row + 1) * loads.size() / rows;
        const auto load = *std::max_element(
            loads.begin() + static_cast<std::ptrdiff_t>(first), loads.begin() + static_cast<std::ptrdiff_t>(last));
        const auto label
            = first + 1 == last ? std::to_string(first) : std::to_string(first) + "-" + std::to_string(last - 1);
        const auto length = largest > 0 ? static_cast<std::size_t>(std::lround(load / largest * options.width)) : 0;
        out << std::setw(9) << label << "  " << std::setw(7) << load << "  " << std::string(length, '#') << "\n";
    }
    return out.str();
}

std::string planReport(const Decision& decision)
{
    constexpr double bytesPerGigabyte = 1e9;
    std::ostringstream out;
    out << std::fixed << std::setprecision(4);
    out << "decision       " << (decision.map ? "change" : "keep") << " (" << toString(decision.reason) << ")\n";
    out << "skew now       " << decision.skewNow << "\n";
    out << "skew proposed  " << decision.skewProposed << "\n";
    out << "gain / cost    " << decision.gain << " / " << decision.cost << "\n";
    out << "layers         " << decision.layersChanged << " changed, " << decision.layersWithinNoise
        << " within noise, " << decision.layersUnknown << " with too few reports\n";
    out << std::setprecision(2);
    out << "to move        " << decision.moves << " experts, " << static_cast<double>(decision.bytes) / bytesPerGigabyte
        << " GB\n";
    out << "transfer time  " << std::chrono::duration<double>(decision.transferTime).count() << " s\n";
    for (const auto& charge : decision.charges)
        out << "charge         " << charge.owner << " " << charge.bytes << " bytes\n";
    return out.str();
}

} // namespace chivewinch::expert
