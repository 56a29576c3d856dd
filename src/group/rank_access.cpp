#include "group/rank_access.hpp"

#include "group/codec.hpp"
#include "group/run_all.hpp"
#include "http/status.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace chivewinch::group {

namespace internal {

/** The query restricted to the members that satisfy the predicate, and to their orders. */
template <typename Predicate> RankQuery restrict(const RankQuery& query, Predicate holds)
{
    auto part = query;
    std::erase_if(part.members, [&holds](const auto& member) { return !holds(member); });
    std::erase_if(part.orders, [&part](const auto& order) {
        return std::ranges::find(part.members, order.rank, &Member::rank) == part.members.end();
    });
    return part;
}

} // namespace internal

RankAccess::RankAccess(
    boost::asio::any_io_executor executor, RankAccessOptions options, const base::Clock& clock, GroupPort& port)
    : executor { executor }
    , options { std::move(options) }
    , clock { clock }
    , port { port }
    , growth { this->options.maxGrowthTime }
    , agents { std::move(executor),
        { .connectTimeout = this->options.agentTimeout,
            .readTimeout = this->options.agentTimeout,
            .maxIdleConnections = 1 } }
{
}

bool RankAccess::isSilent(const Member& member) const
{
    const auto found = this->silentUntil.find(member.endpoint.address);
    return found != this->silentUntil.end() && this->clock.now() < found->second;
}

void RankAccess::noteSilent(const Member& member)
{
    this->silentUntil[member.endpoint.address] = this->clock.now() + this->options.silentTime;
}

http::Task<RankAnswers> RankAccess::ask(RankQuery query, bool needsAll)
{
    RankAnswers answers;
    const auto takeOver = [&answers](http::Task<RankAnswers> task) -> http::Task<void> {
        auto part = co_await std::move(task);
        answers.merge(std::move(part));
    };
    std::vector<http::Task<void>> tasks;
    auto own = internal::restrict(query, [this](const auto& member) { return this->isOwn(member); });
    if (!own.members.empty())
        tasks.push_back(takeOver(this->askEngine(std::move(own))));
    const auto others = internal::restrict(
        query, [this](const auto& member) { return !this->isOwn(member) && !this->isSilent(member); });
    for (auto& part : split(others, this->options.maxParts))
        tasks.push_back(takeOver(this->askAgents(std::move(part))));
    co_await runAll(this->executor, std::move(tasks));
    if (!needsAll)
        co_return answers;
    tasks.clear();
    for (const auto& member : query.members) {
        if (answers.reports.contains(member.rank) || this->isOwn(member))
            continue;
        auto direct = internal::restrict(query, [&member](const auto& other) { return other.rank == member.rank; });
        direct.wantsLoads = false;
        tasks.push_back(takeOver(this->askEngine(std::move(direct))));
    }
    co_await runAll(this->executor, std::move(tasks));
    co_return answers;
}

http::Task<RankAnswers> RankAccess::answer(RankQuery query)
{
    if (query.members.empty() || !this->isOwn(query.members.front()))
        co_return RankAnswers {};
    co_return co_await this->ask(std::move(query), false);
}

http::Task<RankAnswers> RankAccess::askEngine(RankQuery query)
{
    RankAnswers answers;
    const auto member = query.members.front();
    static const GroupMap none;
    for (const auto& order : query.orders) {
        const bool needsMap = order.kind == expert::MapOrderKind::Prepare;
        const auto map = needsMap && order.version == query.map.version ? this->maps.resolve(query.map) : nullptr;
        auto reply = OrderReply::MapUnknown;
        for (int attempt = 0; (map || !needsMap) && attempt < this->options.orderAttempts; ++attempt) {
            reply = co_await this->port.order(member, order, map ? *map : none);
            if (reply != OrderReply::None)
                break;
        }
        answers.replies.push_back({ .order = order, .reply = reply });
    }
    const auto report = co_await this->port.report(member.endpoint);
    if (!report || report->group != query.group || report->rank != member.rank)
        co_return answers;
    answers.reports.emplace(member.rank, *report);
    if (!query.wantsLoads)
        co_return answers;
    const auto counts = co_await this->port.counts(member.endpoint);
    if (counts && counts->epoch == report->maps.epoch)
        answers.loads = this->growth.take(*counts, this->clock.now());
    co_return answers;
}

http::Task<RankAnswers> RankAccess::askAgents(RankQuery query)
{
    const auto members = query.members;
    auto answers = co_await this->askAgent(std::move(query));
    if (!answers) {
        this->noteSilent(members.front());
        co_return RankAnswers {};
    }
    for (const auto& member : members) {
        if (!answers->reports.contains(member.rank))
            this->noteSilent(member);
    }
    co_return std::move(*answers);
}

http::Task<std::optional<RankAnswers>> RankAccess::askAgent(RankQuery query)
{
    const auto client
        = this->agents.of({ .address = query.members.front().endpoint.address, .port = this->options.agentPort });
    http::Error error;
    const http::SendOptions send { .readTimeout
        = query.members.size() > 1 ? this->options.relayTimeout : this->options.agentTimeout };
    const auto response
        = co_await client->send(http::makeRequest("POST", queryPath, encode(query), "application/cbor"), send, error);
    if (!response || response->status != http::status::ok)
        co_return std::nullopt;
    co_return decodeAnswers(response->body);
}

http::Task<std::optional<std::string>> RankAccess::get(const Member& member, const char* path)
{
    const auto client = this->agents.of({ .address = member.endpoint.address, .port = this->options.agentPort });
    http::Error error;
    const http::SendOptions send;
    auto response = co_await client->send(http::makeRequest("GET", path), send, error);
    if (!response || response->status != http::status::ok)
        co_return std::nullopt;
    co_return std::move(response->body);
}

} // namespace chivewinch::group
