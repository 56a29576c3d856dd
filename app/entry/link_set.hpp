#pragma once

#include "base/guarded.hpp"
#include "base/id.hpp"
#include "bundle/snapshot.hpp"
#include "entry/heartbeat_source.hpp"
#include "entry/link.hpp"
#include "entry/tables.hpp"
#include "wire/wire.pb.h"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace chivewinch::entry {

/** Links to the agents of the targets that this entry uses. */
class LinkSet {
public:
    /** Called on any thread with the process identity from the hello of an agent. */
    using AgentHelloHandler = std::function<void(const std::string& instance, base::Incarnation incarnation)>;

    LinkSet(boost::asio::any_io_executor executor, const EntryOptions& options, Tables& tables,
        const base::Clock& clock, HeartbeatSource& heartbeats, AgentHelloHandler onAgentHello);

    /** Opens links to the subset of the bundle's targets that this entry uses and closes all other links. */
    void applyBundle(const bundle::Snapshot& snapshot);
    [[nodiscard]] std::shared_ptr<Link> find(const base::TargetId& target);
    /** Targets whose agents were connected before and are disconnected now. */
    [[nodiscard]] std::vector<base::TargetId> disconnected();
    /** Instance of the agent behind a target; empty before its hello. */
    [[nodiscard]] std::string agentInstance(const base::TargetId& target);
    void stop();

private:
    struct Entry {
        settings::Endpoint endpoint;
        std::shared_ptr<Link> link;
        std::string agent;
    };
    using Links = std::map<base::TargetId, Entry>;

    boost::asio::any_io_executor executor;
    const EntryOptions& options;
    Tables& tables;
    const base::Clock& clock;
    HeartbeatSource& heartbeats;
    AgentHelloHandler onAgentHello;
    base::Guarded<Links> links;
    base::Guarded<std::set<base::TargetId>> disconnectedTargets;

    [[nodiscard]] std::shared_ptr<Link> makeLink(const bundle::Target& target);
    void handleControl(const base::TargetId& target, const base::ZoneId& zone, const wire::Control& message);
    void handleHello(const base::TargetId& target, const base::ZoneId& zone, const wire::Hello& hello);
    void handleHeartbeat(const base::TargetId& target, const wire::Heartbeat& heartbeat);
    void apply(const membership::Event& event);
};

} // namespace chivewinch::entry
