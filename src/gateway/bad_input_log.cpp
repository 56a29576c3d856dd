#include "gateway/bad_input_log.hpp"

#include "logging/event.hpp"

#include <chrono>
#include <string>
#include <utility>

namespace chivewinch::gateway {

namespace internal {

constexpr std::chrono::seconds badInputLogInterval { 1 };

} // namespace internal

BadInputLog::BadInputLog(const base::Clock& clock, metrics::Registry& registry)
    : clock { clock }
{
    for (std::size_t index = 0; index < this->reasons.size(); ++index)
        this->reasons[index].total = &registry.counter("chivewinch_bad_input_total",
            "Requests and connections that were rejected or closed before a request was served",
            { { "reason", std::string { http::toString(static_cast<http::RequestFailure>(index)) } } });
}

void BadInputLog::record(http::RequestFailure kind)
{
    auto& reason = this->reasons[static_cast<std::size_t>(kind)];
    reason.total->Increment();
    ++reason.unlogged;
    const auto now = this->clock.now();
    if (now - reason.loggedAt < internal::badInputLogInterval)
        return;
    reason.loggedAt = now;
    logging::Event { "bad_input" }
        .field("reason", http::toString(kind))
        .field("count", std::exchange(reason.unlogged, 0))
        .info();
}

} // namespace chivewinch::gateway
