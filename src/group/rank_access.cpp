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
template <typename Predicate> RankQuery filterMembers(const RankQuery& query, Predicate predicate)
{
    auto part = query;
    std::erase_if(part.members, [&predicate](const auto& member) { return !predicate(member); });
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
            .maxIdleConnections = 1,
            .buffers = this->options.buffers } }
{
}

bool RankAccess::isUnresponsive(const Member& member) const
{
    const auto found = this->unresponsiveUntil.find(member.endpoint.address);
    return found != this->unresponsiveUntil.end() && this->clock.now() < found->second;
}

void RankAccess::markUnresponsive(const Member& member)
{
    this->unresponsiveUntil[member.endpoint.address] = this->clock.now() + this->options.unresponsiveTime;
}

http::Task<RankAnswers> RankAccess::ask(RankQuery query, bool usesDirectFallback)
{
    RankAnswers answers;
    const auto mergeResult = [&answers](http::Task<RankAnswers> task) -> http::Task<void> {
        auto part = co_await std::move(task);
        answers.merge(std::move(part));
    };
    std::vector<http::Task<void>> tasks;
    auto own = internal::filterMembers(query, [this](const auto& member) { return this->isOwn(member); });
    if (!own.members.empty())
        tasks.push_back(mergeResult(this->queryEngine(std::move(own))));
    const auto others = internal::filterMembers(
        query, [this](const auto& member) { return !this->isOwn(member) && !this->isUnresponsive(member); });
    for (auto& part : split(others, this->options.maxParts))
        tasks.push_back(mergeResult(this->queryThroughAgent(std::move(part))));
    co_await runAll(this->executor, std::move(tasks));
    if (!usesDirectFallback)
        co_return answers;
    tasks.clear();
    for (const auto& member : query.members) {
        if (answers.reports.contains(member.rank) || this->isOwn(member))
            continue;
        auto direct
            = internal::filterMembers(query, [&member](const auto& other) { return other.rank == member.rank; });
        direct.wantsLoads = false;
        tasks.push_back(mergeResult(this->queryEngine(std::move(direct))));
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

http::Task<RankAnswers> RankAccess::queryEngine(RankQuery query)
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
        answers.loads = this->growth.update(*counts, this->clock.now());
    co_return answers;
}

http::Task<RankAnswers> RankAccess::queryThroughAgent(RankQuery query)
{
    const auto members = query.members;
    auto answers = co_await this->sendQuery(std::move(query));
    if (!answers) {
        this->markUnresponsive(members.front());
        co_return RankAnswers {};
    }
    for (const auto& member : members) {
        if (!answers->reports.contains(member.rank))
            this->markUnresponsive(member);
    }
    co_return std::move(*answers);
}

http::Task<std::optional<RankAnswers>> RankAccess::sendQuery(RankQuery query)
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
