#include "group/group_agent.hpp"

#include "group/codec.hpp"
#include "group/run_all.hpp"
#include "http/status.hpp"
#include "logging/event.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace chivewinch::group {

namespace asio = boost::asio;
using expert::ActivationPhase;

namespace internal {

constexpr const char* expertsPath = "/experts";
constexpr std::size_t maxConnections = 64;

// Enough for holding, arming and releasing in one call.
constexpr int maxPhasesAtOnce = 4;

// The version is the wall time in milliseconds followed by random bits. Two processes therefore never give the same
// version to two maps, and a later process gives a larger version.
constexpr std::uint64_t randomVersions = 1'024;

} // namespace internal

GroupAgent::GroupAgent(asio::io_context& context, GroupAgentOptions given, const base::Clock& clock,
    base::RandomSource& random, GroupPort& port)
    : context { context }
    , options { std::move(given) }
    , clock { clock }
    , random { random }
    , port { port }
    , changes { this->registry.counter("chivewinch_map_changes_total", "Expert maps brought into use") }
    , activation { this->options.activation }
    , ranks { context.get_executor(), this->options.access, clock, port }
    , timer { context }
{
}

GroupAgent::~GroupAgent() = default;

std::shared_ptr<http::Server> GroupAgent::makeServer(const settings::Endpoint& listen)
{
    auto made = std::make_shared<http::Server>(
        this->context.get_executor(),
        http::ServerOptions {
            .listen = listen, .buffers = this->options.access.buffers, .maxConnections = internal::maxConnections },
        [this](const http::Request& request, http::ResponseWriter& writer) { return this->serve(request, writer); },
        [](http::RequestFailure kind) { logging::Event { "bad_input" }.field("reason", http::toString(kind)).info(); });
    if (made->start())
        return made;
    this->reason = made->lastReason();
    return nullptr;
}

bool GroupAgent::start()
{
    this->server = this->makeServer(this->options.listen);
    if (!this->server)
        return false;
    if (this->options.metrics) {
        this->metricsServer = this->makeServer(*this->options.metrics);
        if (!this->metricsServer)
            return false;
    }
    logging::Event { "start" }
        .field("engine", settings::toString(this->options.engine))
        .field("listen", settings::toString(this->options.listen))
        .info();
    asio::co_spawn(this->context, this->run(), asio::detached);
    return true;
}

void GroupAgent::drain()
{
    this->isDraining = true;
    logging::Event { "drain" }.field("phase", expert::toString(this->activation.phase())).info();
    this->timer.cancel();
}

http::Task<void> GroupAgent::run()
{
    while (!this->isDraining || !this->activation.canStop()) {
        const auto pause = co_await this->step();
        if (this->isDraining && this->activation.canStop())
            break;
        this->timer.expires_after(pause);
        (void)co_await this->timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    logging::Event { "stop" }.info();
    this->context.stop();
}

http::Task<std::chrono::milliseconds> GroupAgent::step()
{
    const auto own = co_await this->port.report(this->options.engine);
    // The agent of the present first rank continues a change that this agent began at an earlier rank.
    if (own && own->rank != 0 && !this->activation.idle())
        this->activation = expert::HeldActivation { this->options.activation };
    if (!own || own->rank != 0 || own->size < 2 || !own->maps.open) {
        if (own && own->rank != 0 && own->maps.open)
            co_await this->detectStalledSteps(*own);
        else if (this->group && (!own || own->rank != 0))
            this->group.reset();
        co_return this->options.otherRankInterval;
    }
    const bool joined = co_await this->joinGroup(*own);
    if (!joined)
        co_return this->options.interval;
    if (!this->activation.idle() || own->maps.held) {
        co_await this->activate(*own);
        const auto phase = this->activation.phase();
        const bool isHeld = own->maps.held || phase == ActivationPhase::Arming || phase == ActivationPhase::Releasing;
        co_return isHeld ? this->options.heldStepInterval : this->options.changeInterval;
    }
    this->finishChange(*own);
    // Another rank's agent may have completed a change of an earlier process.
    this->forgetOutdatedMap(own->maps.version);
    if (!this->group)
        co_return this->options.changeInterval;
    const auto loads = co_await this->readLoads();
    this->planChange(loads);
    co_return this->activation.idle() ? this->options.interval : std::chrono::milliseconds { 1 };
}

http::Task<void> GroupAgent::detectStalledSteps(const MemberReport& own)
{
    const auto now = this->clock.now();
    if (own.maps.step != this->lastStep) {
        this->lastStep = own.maps.step;
        this->lastStepAt = now;
        co_return;
    }
    // The timeout grows with the rank, so that two ranks rarely check at the same time. An expired timeout does
    // not prove a stall: a group without requests starts no steps either.
    if (now - this->lastStepAt < this->options.stallTimeout * own.rank || !own.maps.prepared)
        co_return;
    this->lastStepAt = now;
    if (*own.maps.prepared != own.maps.version)
        co_await this->completeChange(own);
}

http::Task<void> GroupAgent::completeChange(const MemberReport& own)
{
    if (!this->group || this->group->epoch != own.maps.epoch || this->group->name != own.group) {
        auto members = co_await this->readMembers(own);
        if (!members)
            co_return;
        this->group.emplace(Group { .name = own.group,
            .epoch = own.maps.epoch,
            .members = std::move(*members),
            .map = {},
            .popularity = Popularity { this->options.popularity, this->limits ? this->limits->experts : 0 } });
    }
    auto states = co_await this->readStates();
    const auto orders = expert::completeHeldChange(states);
    if (orders.empty())
        co_return;
    logging::Event { "map_change_completed_for_first_rank" }
        .field("epoch", own.maps.epoch)
        .field("step", orders.front().step)
        .field("orders", orders.size())
        .warning();
    co_await this->sendOrders(orders, states);
}

http::Task<std::optional<std::vector<Member>>> GroupAgent::readMembers(const MemberReport& own)
{
    auto members = co_await this->port.members(own.group);
    if (!members)
        co_return std::nullopt;
    std::erase_if(*members, [&own](const auto& member) { return member.epoch != own.maps.epoch; });
    if (members->size() != own.size)
        co_return std::nullopt;
    std::ranges::sort(*members, {}, &Member::rank);
    for (std::uint32_t rank = 0; rank < own.size; ++rank) {
        if ((*members)[rank].rank != rank)
            co_return std::nullopt;
    }
    co_return members;
}

http::Task<bool> GroupAgent::joinGroup(const MemberReport& own)
{
    if (this->group && this->group->name == own.group && this->group->epoch == own.maps.epoch)
        co_return true;
    this->group.reset();
    this->planned.reset();
    if (!this->limits) {
        this->limits = co_await this->port.limits();
        if (!this->limits)
            co_return false;
    }
    auto members = co_await this->readMembers(own);
    if (!members)
        co_return false;
    this->group.emplace(Group { .name = own.group,
        .epoch = own.maps.epoch,
        .members = std::move(*members),
        .map = {},
        .popularity = Popularity { this->options.popularity, this->limits ? this->limits->experts : 0 } });
    logging::Event { "group" }.field("group", own.group).field("epoch", own.maps.epoch).field("ranks", own.size).info();
    const bool known = co_await this->readMap();
    if (!known)
        this->group.reset();
    co_return known;
}

http::Task<bool> GroupAgent::readMap()
{
    const auto ranks = this->group->members.size();
    std::vector<std::optional<RankExperts>> found(ranks);
    std::vector<http::Task<void>> tasks;
    const auto read = [this](const Member& member, std::optional<RankExperts>& result) -> http::Task<void> {
        const auto body = co_await this->ranks.get(member, internal::expertsPath);
        if (body)
            result = decodeExperts(*body);
    };
    for (std::size_t rank = 0; rank < ranks; ++rank)
        tasks.push_back(read(this->group->members[rank], found[rank]));
    co_await runAll(this->context.get_executor(), std::move(tasks));
    GroupMap map(this->limits->layers, expert::LayerPlacement(ranks));
    for (std::size_t rank = 0; rank < ranks; ++rank) {
        const auto& experts = found[rank];
        if (!experts || experts->epoch != this->group->epoch || experts->version != found.front()->version
            || experts->layers.size() != this->limits->layers) {
            logging::Event { "map_unknown" }.field("rank", rank).info();
            co_return false;
        }
        for (std::size_t layer = 0; layer < experts->layers.size(); ++layer) {
            map[layer][rank] = experts->layers[layer];
            std::ranges::sort(map[layer][rank]);
        }
    }
    this->group->map = std::move(map);
    this->group->version = found.front()->version;
    co_return true;
}

void GroupAgent::recordLoads(const RankAnswers& answers)
{
    auto& popularity = this->group->popularity;
    const auto shifts = popularity.shifts();
    if (!answers.loads.empty())
        popularity.add(answers.loads, this->clock.now());
    if (popularity.shifts() != shifts) {
        logging::Event { "popularity_shift" }
            .field("distance", popularity.distance())
            .field("usual_distance", popularity.usualDistance())
            .field("epoch", this->group->epoch)
            .info();
    }
}

http::Task<GroupLoads> GroupAgent::readLoads()
{
    RankQuery query { .group = this->group->name, .members = this->group->members, .wantsLoads = true };
    const auto answers = co_await this->ranks.ask(std::move(query), false);
    this->recordLoads(answers);
    const auto& popularity = this->group->popularity;
    GroupLoads loads { .tokens = popularity.isKnown() ? popularity.tokens() : std::vector<double> {},
        .paces = std::vector<double>(this->group->members.size(), 1.0) };
    for (const auto& [rank, report] : answers.reports) {
        if (rank < loads.paces.size())
            loads.paces[rank] = report.pace;
    }
    co_return loads;
}

std::uint64_t GroupAgent::nextVersion()
{
    const auto wall = std::chrono::floor<std::chrono::milliseconds>(this->clock.wallNow().time_since_epoch()).count();
    const auto fromClock
        = static_cast<std::uint64_t>(wall) * internal::randomVersions + this->random.below(internal::randomVersions);
    // The wall clock can move backwards, also while no agent of the first rank runs.
    return std::max(fromClock, std::max(this->lastVersion, this->largestVersion) + 1);
}

void GroupAgent::planChange(const GroupLoads& loads)
{
    const auto now = this->clock.now();
    if (this->isDraining || now - this->lastChange < this->options.minBetweenChanges)
        return;
    auto plan = planMap(this->group->map, loads, *this->limits, this->options.planner);
    if (!plan)
        return;
    this->beginChange(std::move(*plan));
    logging::Event { "map_change" }
        .field("version", this->lastVersion)
        .field("epoch", this->group->epoch)
        .field("skew", this->planned->skewBefore)
        .field("skew_planned", this->planned->skewAfter)
        .field("slowest_pace", std::ranges::max(loads.paces))
        .field("copies", this->planned->loaded)
        .info();
}

void GroupAgent::beginChange(PlannedMap plan)
{
    const auto now = this->clock.now();
    this->lastVersion = this->nextVersion();
    this->lastChange = now;
    this->planned = std::move(plan);
    this->needsFullMap = false;
    this->ranks.cacheMap(this->lastVersion, this->planned->map);
    this->accepted.clear();
    this->activation.begin(this->lastVersion, this->group->epoch, now);
}

http::Task<GroupAgent::States> GroupAgent::readStates()
{
    // The popularity may shift while weights are copied. Loads are read during the copies so that the next plan does
    // not have to wait for new readings.
    const bool isPreparing = this->activation.phase() == ActivationPhase::Preparing;
    RankQuery query { .group = this->group->name, .members = this->group->members, .wantsLoads = isPreparing };
    const auto answers = co_await this->ranks.ask(std::move(query), true);
    if (isPreparing)
        this->recordLoads(answers);
    States states(this->group->members.size());
    updateStates(states, answers);
    co_return states;
}

void GroupAgent::updateStates(States& states, const RankAnswers& answers)
{
    for (const auto& [rank, report] : answers.reports) {
        if (rank >= states.size())
            continue;
        states[rank] = report.maps;
        this->largestVersion
            = std::max({ this->largestVersion, report.maps.version, report.maps.prepared.value_or(0) });
    }
}

http::Task<void> GroupAgent::activate(const MemberReport& own)
{
    auto states = co_await this->readStates();
    // Uses the own report, which was read before the others. A step that has not started in it may have started since,
    // but a step that has started in it has also started in every later report.
    states.front() = own.maps;
    // A confirmed order allows the next phase at once. The held step must not wait for the next reports.
    for (int phase = 0; phase < internal::maxPhasesAtOnce; ++phase) {
        const auto before = this->activation.phase();
        const auto orders = this->activation.advance(states, this->clock.now());
        this->isChanging = this->isChanging || !this->activation.idle();
        this->logPhase();
        co_await this->sendOrders(orders, states);
        if (orders.empty() || (phase > 0 && this->activation.phase() == before))
            break;
    }
    if (this->activation.idle() && !this->isDraining && expert::needsFurtherChange(states))
        this->releaseHeldStep(states.front()->version);
}

void GroupAgent::releaseHeldStep(std::uint64_t inUse)
{
    this->forgetOutdatedMap(inUse);
    if (!this->group)
        return;
    // Ranks that load the map in use again copy no weights.
    this->beginChange({ .map = this->group->map });
    logging::Event { "held_step_without_change" }
        .field("version", this->lastVersion)
        .field("epoch", this->group->epoch)
        .warning();
}

void GroupAgent::forgetOutdatedMap(std::uint64_t inUse)
{
    if (this->group && this->group->version != inUse)
        this->group.reset();
}

http::Task<void> GroupAgent::sendOrders(const std::vector<expert::MapOrder>& orders, States& states)
{
    RankQuery query { .group = this->group->name };
    for (const auto& order : orders) {
        if (!this->isDue(order))
            continue;
        query.orders.push_back(order);
        if (query.members.empty() || query.members.back().rank != order.rank)
            query.members.push_back(this->group->members[order.rank]);
    }
    if (query.orders.empty())
        co_return;
    // Only the agent that planned a map can prepare it. The update is built only for orders that load the map, so that
    // other orders of a held step are not delayed.
    if (this->planned && anyNeedsMap(query.orders))
        query.map = this->plannedUpdate();
    const auto answers = co_await this->ranks.ask(query, true);
    for (const auto& answer : answers.replies)
        this->handleReply(answer);
    updateStates(states, answers);
    this->logOrders(query.orders, answers.replies);
}

MapUpdate GroupAgent::plannedUpdate() const
{
    return this->needsFullMap ? fullUpdate(this->planned->map, this->lastVersion)
                              : MapCache::difference(this->group->map, this->group->version, this->planned->map,
                                  this->lastVersion, this->limits->experts);
}

bool GroupAgent::isDue(const expert::MapOrder& order) const
{
    const auto found = this->accepted.find(order);
    return found == this->accepted.end() || this->clock.now() - found->second >= this->options.repeatAfter;
}

void GroupAgent::handleReply(const OrderAnswer& answer)
{
    const auto reply = answer.reply;
    if (reply == OrderReply::Begun || reply == OrderReply::Done)
        this->accepted[answer.order] = this->clock.now();
    if (reply == OrderReply::Done)
        this->activation.confirm(answer.order);
    if (reply == OrderReply::Begun || reply == OrderReply::Done)
        return;
    this->needsFullMap = this->needsFullMap || reply == OrderReply::MapUnknown;
    logging::Event { "map_order_failed" }
        .field("kind", expert::toString(answer.order.kind))
        .field("rank", answer.order.rank)
        .field("version", answer.order.version)
        .field("step", answer.order.step)
        .field("reply", toString(reply))
        .info();
}

void GroupAgent::logOrders(const std::vector<expert::MapOrder>& orders, const std::vector<OrderAnswer>& replies) const
{
    const auto count = [&replies](OrderReply reply) { return std::ranges::count(replies, reply, &OrderAnswer::reply); };
    const auto& first = orders.front();
    logging::Event { "map_orders" }
        .field("kind", expert::toString(first.kind))
        .field("first_rank", first.rank)
        .field("version", first.version)
        .field("step", first.step)
        .field("orders", orders.size())
        .field("begun", count(OrderReply::Begun))
        .field("done", count(OrderReply::Done))
        .info();
}

void GroupAgent::logPhase()
{
    const auto phase = this->activation.phase();
    if (std::exchange(this->loggedPhase, phase) == phase)
        return;
    logging::Event { "map_phase" }
        .field("phase", expert::toString(phase))
        .field("version", this->activation.version())
        .field("step", this->activation.heldStep())
        .info();
}

void GroupAgent::finishChange(const MemberReport& own)
{
    if (!std::exchange(this->isChanging, false))
        return;
    if (!this->planned) {
        // An earlier process started the change, and only that process had the map, so the map in use is read again.
        this->group.reset();
        return;
    }
    const bool inUse = own.maps.version == this->lastVersion;
    if (inUse) {
        this->group->map = this->planned->map;
        this->group->version = this->lastVersion;
        this->changes.Increment();
    }
    logging::Event { "map_change_end" }.field("version", this->lastVersion).field("in_use", inUse).info();
    this->planned.reset();
}

http::Task<void> GroupAgent::serve(const http::Request& request, http::ResponseWriter& writer)
{
    const auto path = http::pathOf(request);
    http::Response response { .status = http::status::notFound };
    if (path == this->options.metricsPath) {
        response
            = { .status = http::status::ok, .contentType = metrics::textContentType, .body = this->registry.text() };
    } else if (path == internal::expertsPath) {
        response.status = http::status::unavailable;
        const auto experts = co_await this->port.experts(this->options.engine);
        if (experts)
            response = { .status = http::status::ok, .body = encode(*experts) };
    } else if (path == RankAccess::queryPath) {
        response.status = http::status::badRequest;
        auto query = decodeQuery(request.body());
        if (query) {
            const auto answers = co_await this->ranks.answer(std::move(*query));
            response = { .status = http::status::ok, .contentType = "application/cbor", .body = encode(answers) };
        }
    }
    (void)co_await writer.send(std::move(response));
}

} // namespace chivewinch::group
