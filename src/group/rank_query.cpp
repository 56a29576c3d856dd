#include "group/rank_query.hpp"

#include <algorithm>
#include <functional>
#include <iterator>
#include <utility>

namespace chivewinch::group {

void RankAnswers::merge(RankAnswers other)
{
    this->reports.merge(other.reports);
    std::ranges::move(other.replies, std::back_inserter(this->replies));
    if (this->loads.empty())
        this->loads = std::move(other.loads);
    else if (this->loads.size() == other.loads.size())
        std::ranges::transform(this->loads, other.loads, this->loads.begin(), std::plus {});
}

bool anyNeedsMap(const std::vector<expert::MapOrder>& orders)
{
    return std::ranges::find(orders, expert::MapOrderKind::Prepare, &expert::MapOrder::kind) != orders.end();
}

std::vector<RankQuery> split(const RankQuery& query, std::size_t maxParts)
{
    std::vector<RankQuery> parts;
    if (query.members.empty() || maxParts == 0)
        return parts;
    const auto size = (query.members.size() + maxParts - 1) / maxParts;
    for (std::size_t first = 0; first < query.members.size(); first += size) {
        const auto count = std::min(size, query.members.size() - first);
        const auto begin = query.members.begin() + static_cast<std::ptrdiff_t>(first);
        RankQuery part { .group = query.group,
            .members = { begin, begin + static_cast<std::ptrdiff_t>(count) },
            .wantsLoads = query.wantsLoads,
            .orders = {},
            .map = {} };
        std::ranges::copy_if(query.orders, std::back_inserter(part.orders), [&part](const auto& order) {
            return std::ranges::find(part.members, order.rank, &Member::rank) != part.members.end();
        });
        if (anyNeedsMap(part.orders))
            part.map = query.map;
        parts.push_back(std::move(part));
    }
    return parts;
}

} // namespace chivewinch::group
