#pragma once

#include "base/reason.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace chivewinch::metrics {

/** Content type of the Prometheus text format. */
inline constexpr const char* textContentType = "text/plain; version=0.0.4";

/** Metrics of one process. Thread-safe; returned references stay valid as long as the registry. */
class Registry {
public:
    Registry();

    void refused(base::RefusalReason reason) { this->refusals[static_cast<std::size_t>(reason)]->Increment(); }
    void retried(base::RetryReason reason) { this->retries[static_cast<std::size_t>(reason)]->Increment(); }

    [[nodiscard]] prometheus::Counter& counter(
        const std::string& name, const std::string& help, const prometheus::Labels& labels = {});
    [[nodiscard]] prometheus::Gauge& gauge(
        const std::string& name, const std::string& help, const prometheus::Labels& labels = {});
    /** Histogram in seconds, with bucket bounds from 1 ms to about 65 s. */
    [[nodiscard]] prometheus::Histogram& seconds(
        const std::string& name, const std::string& help, const prometheus::Labels& labels = {});

    /** Prometheus text format. */
    [[nodiscard]] std::string text() const;

private:
    std::shared_ptr<prometheus::Registry> registry;
    std::array<prometheus::Counter*, static_cast<std::size_t>(base::RefusalReason::Count)> refusals {};
    std::array<prometheus::Counter*, static_cast<std::size_t>(base::RetryReason::Count)> retries {};
};

} // namespace chivewinch::metrics
