#pragma once

#include "base/clock.hpp"
#include "group/count_growth.hpp"
#include "group/group_port.hpp"
#include "group/rank_query.hpp"
#include "http/client_set.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace chivewinch::group {

/** Options of an agent's access to the engines of its group. */
struct RankAccessOptions {
    settings::Endpoint engine; ///< Engine on this machine.
    std::shared_ptr<http::BufferBudget> buffers; ///< For messages to and from other agents.
    std::uint16_t agentPort = 0; ///< Port of all agents. Each agent runs on the machine of its engine.
    /**
     * Longest time between two readings of the counts. A difference over a longer time says little about the present
     * popularity.
     */
    std::chrono::milliseconds maxGrowthTime { 1'000 };
    /**
     * Number of agents that are queried directly. Each of them queries an equal share of the other agents. This bounds
     * the traffic at one machine.
     */
    std::size_t maxParts = 16;
    /**
     * Timeout for an agent that queries no other agents. Such an agent calls only the engine on its machine, with a
     * timeout of 80 ms for each call.
     */
    std::chrono::milliseconds agentTimeout { 250 };
    /** Timeout for an agent that also queries other agents. */
    std::chrono::milliseconds relayTimeout { 400 };
    /**
     * Number of times that an order is sent to an engine that does not answer, before the agent of the first rank
     * decides again.
     */
    int orderAttempts = 3;
    /** Time for which an agent that did not answer is not queried. */
    std::chrono::milliseconds unresponsiveTime { 1'000 };

    bool operator==(const RankAccessOptions&) const = default;
};

/**
 * Reads the state of a group's engines and sends them orders through their agents. Reports that come from the agents
 * are fresh, and the calls to the engines stay on their machines. If an agent does not answer, its engine can be called
 * directly. Must be used on one executor.
 */
class RankAccess {
public:
    RankAccess(
        boost::asio::any_io_executor executor, RankAccessOptions options, const base::Clock& clock, GroupPort& port);

    /**
     * Queries all members.
     * @param usesDirectFallback Calls the engines of unresponsive agents directly. The counts of these ranks stay
     * unknown.
     */
    [[nodiscard]] http::Task<RankAnswers> ask(RankQuery query, bool usesDirectFallback);
    /** Answers a query of another agent. The answer is empty if the first member is not the engine on this machine. */
    [[nodiscard]] http::Task<RankAnswers> answer(RankQuery query);
    /** Sends a GET to another agent and returns the body; nullopt if the agent does not answer with status 200. */
    [[nodiscard]] http::Task<std::optional<std::string>> get(const Member& member, const char* path);

    /** Stores a map that this agent has planned. */
    void cacheMap(std::uint64_t version, GroupMap map) { this->maps.remember(version, std::move(map)); }

    static constexpr const char* queryPath = "/ranks";

private:
    boost::asio::any_io_executor executor;
    RankAccessOptions options;
    const base::Clock& clock;
    GroupPort& port;
    CountGrowth growth; ///< Counts of the engine on this machine.
    MapCache maps;
    http::ClientSet agents;
    std::map<std::string, base::SteadyTime> unresponsiveUntil; ///< By address of the machine.

    [[nodiscard]] bool isOwn(const Member& member) const { return member.endpoint == this->options.engine; }
    [[nodiscard]] bool isUnresponsive(const Member& member) const;
    void markUnresponsive(const Member& member);
    [[nodiscard]] http::Task<RankAnswers> queryEngine(RankQuery query);
    [[nodiscard]] http::Task<RankAnswers> queryThroughAgent(RankQuery query);
    [[nodiscard]] http::Task<std::optional<RankAnswers>> sendQuery(RankQuery query);
};

} // namespace chivewinch::group
