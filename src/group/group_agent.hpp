#pragma once

#include "base/clock.hpp"
#include "base/random.hpp"
#include "expert/held_activation.hpp"
#include "group/group_port.hpp"
#include "group/map_planner.hpp"
#include "group/popularity.hpp"
#include "group/rank_access.hpp"
#include "http/server.hpp"
#include "metrics/registry.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace chivewinch::group {

struct GroupAgentOptions {
    std::string instance;
    settings::Endpoint engine; ///< Engine on this machine.
    settings::Endpoint listen; ///< Address for the other agents, which all use the same port.
    RankAccessOptions access;
    std::optional<settings::Endpoint> metrics;
    std::string metricsPath = "/metrics";
    std::chrono::milliseconds interval { 20 }; ///< Interval between two readings of the counts.
    /**
     * Interval between two readings of the ranks during a change. Engines load the weights of a change in some 100 ms.
     */
    std::chrono::milliseconds changeInterval { 50 };
    /** Interval between two readings while a step is held; all ranks wait for this step. */
    std::chrono::milliseconds heldStepInterval { 5 };
    /**
     * Time after which an accepted order is repeated if no report shows its effect. A report that is not read by the
     * agent on the engine's machine is some 200 ms old.
     */
    std::chrono::milliseconds repeatAfter { 600 };
    /** Interval between two readings of the own engine, on ranks other than the first. */
    std::chrono::milliseconds otherRankInterval { 200 };
    /**
     * If the group starts no step for this long, the agent of the first rank may have stalled while a step is held. The
     * time is multiplied by the rank of the agent that checks.
     */
    std::chrono::milliseconds stallTimeout { 400 };
    /**
     * Minimum time between two plans. A change takes 0.4 s or more; the next plan can use the loads that were read
     * during the change.
     */
    std::chrono::milliseconds minBetweenChanges { 300 };
    PortTimeouts timeouts;
    PopularityOptions popularity;
    MapPlannerOptions planner;
    expert::HeldActivationOptions activation;
};

/**
 * Agent on the machine of one rank's engine. It reads the counts of its engine for the agent of the first rank, which
 * plans and activates the maps of the group. Runs on one thread.
 */
class GroupAgent {
public:
    GroupAgent(boost::asio::io_context& context, GroupAgentOptions options, const base::Clock& clock,
        base::RandomSource& random, GroupPort& port);
    GroupAgent(const GroupAgent&) = delete;
    GroupAgent& operator=(const GroupAgent&) = delete;
    ~GroupAgent();

    /** Starts the servers and the agent. Returns false and sets lastReason if an address cannot be bound. */
    [[nodiscard]] bool start();
    [[nodiscard]] const std::string& lastReason() const noexcept { return this->reason; }

    /** Starts no further change; the agent ends when no change is in progress. */
    void drain();

private:
    using States = std::vector<std::optional<expert::RankMapState>>;

    /** State of the group in one epoch, as the agent of the first rank has read it. */
    struct Group {
        std::string name;
        std::uint64_t epoch = 0;
        std::vector<Member> members; ///< By rank.
        GroupMap map; ///< Map in use.
        std::uint64_t version = 0; ///< Version of the map in use.
        Popularity popularity;
    };

    boost::asio::io_context& context;
    GroupAgentOptions options;
    const base::Clock& clock;
    base::RandomSource& random;
    GroupPort& port;
    metrics::Registry registry;
    prometheus::Counter& changes;
    std::optional<EngineLimits> limits;
    std::optional<Group> group;
    expert::HeldActivation activation;
    expert::ActivationPhase loggedPhase = expert::ActivationPhase::Idle;
    std::optional<PlannedMap> planned;
    std::uint64_t lastVersion = 0;
    std::uint64_t largestVersion = 0; ///< Largest version that a rank has reported.
    bool needsFullMap = false; ///< An agent does not hold the base map of the present change.
    base::SteadyTime lastChange {};
    /** Accepted orders of the present change, with the time of their acceptance. */
    std::map<expert::MapOrder, base::SteadyTime> accepted;
    RankAccess ranks;
    std::shared_ptr<http::Server> server;
    std::shared_ptr<http::Server> metricsServer;
    boost::asio::steady_timer timer;
    std::uint64_t lastStep = 0; ///< Last step of the own engine; used on ranks other than the first.
    base::SteadyTime lastStepAt {};
    bool isChanging = false;
    bool isDraining = false;
    std::string reason;

    [[nodiscard]] http::Task<void> run();
    /** Runs one iteration; returns the pause before the next one. */
    [[nodiscard]] http::Task<std::chrono::milliseconds> step();
    [[nodiscard]] http::Task<void> detectStalledSteps(const MemberReport& own);
    [[nodiscard]] http::Task<void> completeChange(const MemberReport& own);
    [[nodiscard]] http::Task<bool> joinGroup(const MemberReport& own);
    /** Members of the epoch of the own engine, by rank; nullopt while the list is incomplete. */
    [[nodiscard]] http::Task<std::optional<std::vector<Member>>> readMembers(const MemberReport& own);
    [[nodiscard]] http::Task<bool> readMap();
    [[nodiscard]] http::Task<GroupLoads> readLoads();
    /** Adds the loads of a reading to the popularity. */
    void recordLoads(const RankAnswers& answers);
    [[nodiscard]] http::Task<void> activate(const MemberReport& own);
    /** States by rank; nullopt for ranks that do not answer. */
    [[nodiscard]] http::Task<States> readStates();
    /** Updates the states with the reports that follow the orders. */
    [[nodiscard]] http::Task<void> sendOrders(const std::vector<expert::MapOrder>& orders, States& states);
    void updateStates(States& states, const RankAnswers& answers);
    /** Update to the planned map, in as few bytes as the other agents need. */
    [[nodiscard]] MapUpdate plannedUpdate() const;
    [[nodiscard]] bool isDue(const expert::MapOrder& order) const;
    void handleReply(const OrderAnswer& answer);
    void logOrders(const std::vector<expert::MapOrder>& orders, const std::vector<OrderAnswer>& replies) const;
    void planChange(const GroupLoads& loads);
    void beginChange(PlannedMap plan);
    /** Releases a step that is held for no loaded map by a change that uses the step and keeps the map in use. */
    void releaseHeldStep(std::uint64_t inUse);
    /** Has the map read again if another agent has brought one into use. */
    void forgetOutdatedMap(std::uint64_t inUse);
    void finishChange(const MemberReport& own);
    void logPhase();
    [[nodiscard]] std::uint64_t nextVersion();
    [[nodiscard]] http::Task<void> serve(const http::Request& request, http::ResponseWriter& writer);
    [[nodiscard]] std::shared_ptr<http::Server> makeServer(const settings::Endpoint& listen);
};

} // namespace chivewinch::group
