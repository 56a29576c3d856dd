#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace chivewinch::http {

/** Position of an event of one client in their order. */
using EventNumber = std::uint64_t;

/**
 * Spans of events during which a server is known to have been one process. At most one process at a time listens at an
 * address, and the connections of a process end with it. A process that accepted a connection and answers a request on
 * it has therefore run from the one event to the other, and spans that overlap belong to the same process.
 */
class ServerLifetimes {
public:
    /** Number of an event that happens now. */
    [[nodiscard]] EventNumber next() noexcept { return ++this->newest; }
    /** The process that accepted a connection at the first event still ran at the second one. */
    void record(EventNumber accepted, EventNumber running);
    /** True if one process is known to have run from the first event to the second one. */
    [[nodiscard]] bool isOneProcess(EventNumber first, EventNumber second) const noexcept;

private:
    struct Span {
        EventNumber first = 0;
        EventNumber last = 0;
    };

    static constexpr std::size_t maxSpans = 16;

    EventNumber newest = 0;
    std::vector<Span> spans; ///< Disjoint, in ascending order; the newest ones.
};

} // namespace chivewinch::http
