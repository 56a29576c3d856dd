#pragma once

#include "base/clock.hpp"
#include "base/id.hpp"
#include "entry/link.hpp"
#include "entry/options.hpp"
#include "entry/tables.hpp"
#include "metrics/registry.hpp"
#include "usage/record.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace chivewinch::entry {

/** What a request coroutine uses of its entry. Every member may be used on any thread. */
struct Services {
    const EntryOptions& options;
    const base::Clock& clock;
    Tables& tables;
    metrics::Registry& metrics;
    prometheus::Histogram& timeToFirstToken;
    prometheus::Histogram& requestTime;
    prometheus::Counter& droppedFrames;

    /** Link to the agent of a target, or null. */
    std::function<std::shared_ptr<Link>(const base::TargetId&)> linkOf;
    /** Targets whose agents this entry has no connection to at the moment. */
    std::function<std::vector<base::TargetId>()> disconnectedTargets;
    /** Counts an attempt for usage. */
    std::function<void(const usage::Record&)> countUsage;
    /** Identity of the agent process behind a target, for usage records. */
    std::function<std::string(const base::TargetId&)> agentInstanceOf;
};

} // namespace chivewinch::entry
