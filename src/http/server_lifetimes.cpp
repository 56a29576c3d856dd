#include "http/server_lifetimes.hpp"

#include <algorithm>

namespace chivewinch::http {

void ServerLifetimes::record(EventNumber accepted, EventNumber running)
{
    Span joined { .first = accepted, .last = running };
    std::erase_if(this->spans, [&joined](const Span& span) {
        const bool overlaps = span.first <= joined.last && joined.first <= span.last;
        if (overlaps)
            joined = { .first = std::min(span.first, joined.first), .last = std::max(span.last, joined.last) };
        return overlaps;
    });
    this->spans.insert(std::ranges::upper_bound(this->spans, joined.first, {}, &Span::first), joined);
    if (this->spans.size() > maxSpans)
        this->spans.erase(this->spans.begin());
}

bool ServerLifetimes::isOneProcess(EventNumber first, EventNumber second) const noexcept
{
    return std::ranges::any_of(
        this->spans, [first, second](const Span& span) { return span.first <= first && second <= span.last; });
}

} // namespace chivewinch::http
