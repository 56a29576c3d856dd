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

/** Parts of the entry that request coroutines use. All members are thread-safe. */
struct Services {
    const EntryOptions& options;
    const base::Clock& clock;
    Tables& tables;
    metrics::Registry& metrics;
    prometheus::Histogram& timeToFirstToken;
    prometheus::Histogram& requestTime;
    prometheus::Counter& droppedFrames;

    /** Returns the link to the agent of a target, or null. */
    std::function<std::shared_ptr<Link>(const base::TargetId&)> linkOf;
    /** Returns the targets whose agents are disconnected from this entry now. */
    std::function<std::vector<base::TargetId>()> disconnectedTargets;
    /** Adds the usage record of an attempt to the ledger. */
    std::function<void(const usage::Record&)> countUsage;
    /** Returns the instance name of the agent of a target, for usage records. */
    std::function<std::string(const base::TargetId&)> agentInstanceOf;
};

} // namespace chivewinch::entry
