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
    settings::Endpoint engine; ///< Engine of this machine.
    settings::Endpoint listen; ///< For the other agents; they use the same port.
    RankAccessOptions access;
    std::optional<settings::Endpoint> metrics;
    std::string metricsPath = "/metrics";
    std::chrono::milliseconds interval { 20 }; ///< Between two readings of the counts.
    /** Between two readings of the ranks during a change. Engines load the weights of a change in some 100 ms. */
    std::chrono::milliseconds busyInterval { 50 };
    /** The same while a step is held, which all ranks wait for. */
    std::chrono::milliseconds heldInterval { 5 };
    /** An accepted order whose effect no report shows is repeated after this time; reports of an engine that is not
     * read by its own agent are some 200 ms old. */
    std::chrono::milliseconds repeatAfter { 600 };
    std::chrono::milliseconds otherRankInterval { 200 }; ///< Between two readings of the own engine on other ranks.
    /** A group that begins no step for this long may wait for an agent that stands still; each rank waits longer. */
    std::chrono::milliseconds stillTime { 400 };
    /** From plan to plan. A change takes 0.4 s and more; the next one can use what was learned meanwhile. */
    std::chrono::milliseconds minBetweenChanges { 300 };
    PortTimeouts timeouts;
    PopularityOptions popularity;
    MapPlannerOptions planner;
    expert::HeldActivationOptions activation;
};

/**
 * Agent beside the engine of one rank. It reads the counts of its engine for the agent of the first rank, which plans
 * and activates the maps of the group. Runs on one thread.
 */
class GroupAgent {
public:
    GroupAgent(boost::asio::io_context& context, GroupAgentOptions options, const base::Clock& clock,
        base::RandomSource& random, GroupPort& port);
    GroupAgent(const GroupAgent&) = delete;
    GroupAgent& operator=(const GroupAgent&) = delete;
    ~GroupAgent();

    /** False and a last reason if an address cannot be bound. */
    [[nodiscard]] bool start();
    [[nodiscard]] const std::string& lastReason() const noexcept { return this->reason; }

    /** Begins no further change and ends when none is under way. */
    void drain();

private:
    using States = std::vector<std::optional<expert::RankMapState>>;

    /** What the first rank's agent knows about the group in one epoch. */
    struct Group {
        std::string name;
        std::uint64_t epoch = 0;
        std::vector<Member> members; ///< By rank.
        GroupMap map; ///< In use.
        std::uint64_t version = 0; ///< Of the map in use.
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
    bool needsWholeMap = false; ///< An agent did not know the map that the present change begins with.
    base::SteadyTime lastChange {};
    std::map<expert::MapOrder, base::SteadyTime> accepted; ///< Orders of the present change, by time.
    RankAccess ranks;
    std::shared_ptr<http::Server> server;
    std::shared_ptr<http::Server> metricsServer;
    boost::asio::steady_timer timer;
    std::uint64_t seenStep = 0; ///< Newest step of the own engine, on other ranks than the first.
    base::SteadyTime seenStepAt {};
    bool isChanging = false;
    bool isDraining = false;
    std::string reason;

    [[nodiscard]] http::Task<void> run();
    /** Time until the next step. */
    [[nodiscard]] http::Task<std::chrono::milliseconds> step();
    [[nodiscard]] http::Task<void> watchSteps(const MemberReport& own);
    [[nodiscard]] http::Task<void> completeChange(const MemberReport& own);
    [[nodiscard]] http::Task<bool> joinGroup(const MemberReport& own);
    /** All members of the engine's epoch by rank; nullopt while the list lacks one. */
    [[nodiscard]] http::Task<std::optional<std::vector<Member>>> readMembers(const MemberReport& own);
    [[nodiscard]] http::Task<bool> readMap();
    [[nodiscard]] http::Task<GroupLoads> readLoads();
    /** Takes over the loads of a reading. */
    void noteLoads(const RankAnswers& answers);
    [[nodiscard]] http::Task<void> activate(const MemberReport& own);
    /** By rank; nullopt for those that do not answer. */
    [[nodiscard]] http::Task<States> readStates();
    [[nodiscard]] http::Task<void> sendOrders(const std::vector<expert::MapOrder>& orders);
    /** The planned map, in as few bytes as the other agents need. */
    [[nodiscard]] MapUpdate plannedUpdate() const;
    [[nodiscard]] bool isDue(const expert::MapOrder& order) const;
    void noteReply(const OrderAnswer& answer);
    void logOrders(const std::vector<expert::MapOrder>& orders, const std::vector<OrderAnswer>& replies) const;
    void planChange(const GroupLoads& loads);
    void noteEnd(const MemberReport& own);
    void logPhase();
    [[nodiscard]] std::uint64_t nextVersion(std::uint64_t inUse);
    [[nodiscard]] http::Task<void> serve(const http::Request& request, http::ResponseWriter& writer);
    [[nodiscard]] std::shared_ptr<http::Server> makeServer(const settings::Endpoint& listen);
};

} // namespace chivewinch::group
