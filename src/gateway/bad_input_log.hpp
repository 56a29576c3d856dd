#pragma once

#include "base/clock.hpp"
#include "http/server.hpp"
#include "metrics/registry.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace chivewinch::gateway {

/**
 * Logs and counts requests and connections that a server has rejected. A crowd of clients must not fill the log: each
 * reason is logged at most once a second, with the number of cases since its last line.
 */
class BadInputLog {
public:
    BadInputLog(const base::Clock& clock, metrics::Registry& registry);

    void record(http::RequestFailure kind);

private:
    struct Reason {
        prometheus::Counter* total = nullptr;
        base::SteadyTime loggedAt {};
        std::uint64_t unlogged = 0;
    };

    const base::Clock& clock;
    std::array<Reason, static_cast<std::size_t>(http::RequestFailure::Count)> reasons;
};

} // namespace chivewinch::gateway
