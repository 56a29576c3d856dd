#include "metrics/registry.hpp"

#include <prometheus/text_serializer.h>

namespace chivewinch::metrics {

namespace internal {

constexpr int secondsBuckets = 17;

prometheus::Histogram::BucketBoundaries secondsBoundaries()
{
    prometheus::Histogram::BucketBoundaries boundaries;
    double bound = 0.001;
    for (int i = 0; i < secondsBuckets; ++i, bound *= 2)
        boundaries.push_back(bound);
    return boundaries;
}

} // namespace internal

Registry::Registry()
    : registry { std::make_shared<prometheus::Registry>() }
{
    for (std::size_t i = 0; i < this->refusals.size(); ++i) {
        const std::string name { base::toString(static_cast<base::RefusalReason>(i)) };
        this->refusals[i] = &this->counter(
            "chivewinch_refusals_total", "Requests or attempts refused, by reason", { { "reason", name } });
    }
    for (std::size_t i = 0; i < this->retries.size(); ++i) {
        const std::string name { base::toString(static_cast<base::RetryReason>(i)) };
        this->retries[i]
            = &this->counter("chivewinch_retries_total", "Attempts after the first, by reason", { { "reason", name } });
    }
}

prometheus::Counter& Registry::counter(
    const std::string& name, const std::string& help, const prometheus::Labels& labels)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(*this->registry).Add(labels);
}

prometheus::Gauge& Registry::gauge(const std::string& name, const std::string& help, const prometheus::Labels& labels)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(*this->registry).Add(labels);
}

prometheus::Histogram& Registry::seconds(
    const std::string& name, const std::string& help, const prometheus::Labels& labels)
{
    return prometheus::BuildHistogram()
        .Name(name)
        .Help(help)
        .Register(*this->registry)
        .Add(labels, internal::secondsBoundaries());
}

std::string Registry::text() const { return prometheus::TextSerializer {}.Serialize(this->registry->Collect()); }

} // namespace chivewinch::metrics
