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

/** Access of one agent to the engines of its group. */
struct RankAccessOptions {
    settings::Endpoint engine; ///< Of this machine.
    std::uint16_t agentPort = 0; ///< Of all agents; each runs on the machine of its engine.
    /** Counts that grew over a longer time say little about the present popularity. */
    std::chrono::milliseconds maxGrowthTime { 1'000 };
    /** Agents that are asked directly; each asks an equal share of the others. Bounds the traffic at one machine. */
    std::size_t maxParts = 16;
    /** An agent answers from its own machine's engine, whose calls have a time-out of 80 ms each. */
    std::chrono::milliseconds agentTimeout { 250 };
    /** The same for one that asks others. */
    std::chrono::milliseconds relayTimeout { 400 };
    /** An order that its engine does not answer is repeated this often before the group's agent decides again. */
    int orderAttempts = 3;
    /** An agent that did not answer is left out for this long. */
    std::chrono::milliseconds silentTime { 1'000 };

    bool operator==(const RankAccessOptions&) const = default;
};

/**
 * Reads and orders the engines of a group through their agents, whose reports are fresh and whose calls stay on their
 * machine. The engine of an agent that does not answer is called directly. Used on one executor.
 */
class RankAccess {
public:
    RankAccess(
        boost::asio::any_io_executor executor, RankAccessOptions options, const base::Clock& clock, GroupPort& port);

    /**
     * Asks all members of the query.
     * @param needsAll Calls engines directly whose agents do not answer; the counts of such ranks stay unknown.
     */
    [[nodiscard]] http::Task<RankAnswers> ask(RankQuery query, bool needsAll);
    /** Answers another agent's query; empty if the first member is not the engine of this machine. */
    [[nodiscard]] http::Task<RankAnswers> answer(RankQuery query);
    /** Body of a GET of another agent; nullopt if it does not answer. */
    [[nodiscard]] http::Task<std::optional<std::string>> get(const Member& member, const char* path);

    /** The map of this version, which this agent has planned. */
    void rememberMap(std::uint64_t version, GroupMap map) { this->maps.remember(version, std::move(map)); }

    static constexpr const char* queryPath = "/ranks";

private:
    boost::asio::any_io_executor executor;
    RankAccessOptions options;
    const base::Clock& clock;
    GroupPort& port;
    CountGrowth growth; ///< Of the own engine.
    KnownMaps maps;
    http::ClientSet agents;
    std::map<std::string, base::SteadyTime> silentUntil; ///< By address.

    [[nodiscard]] bool isOwn(const Member& member) const { return member.endpoint == this->options.engine; }
    [[nodiscard]] bool isSilent(const Member& member) const;
    void noteSilent(const Member& member);
    [[nodiscard]] http::Task<RankAnswers> askEngine(RankQuery query);
    [[nodiscard]] http::Task<RankAnswers> askAgents(RankQuery query);
    [[nodiscard]] http::Task<std::optional<RankAnswers>> askAgent(RankQuery query);
};

} // namespace chivewinch::group
