#include "claim/claim_schedule.hpp"

#include <algorithm>
#include <utility>

namespace chivewinch::claim {

using namespace std::chrono_literals;

namespace internal {

constexpr std::size_t keyCount = 3;
constexpr std::uint64_t loadMilliseconds = 10'000;
constexpr auto requestTimeout = 5s;
constexpr auto recoveryTime = 5min;

} // namespace internal

Violations& Violations::operator+=(const Violations& other) noexcept
{
    for (auto member : { &Violations::repeatedRuns, &Violations::runAfterRefusal, &Violations::wrongRepeats,
             &Violations::conflictsMissed, &Violations::falseConflicts, &Violations::answerErrors,
             &Violations::lostOutcomes, &Violations::stuckKeys, &Violations::leaks })
        this->*member += other.*member;
    return *this;
}

Coverage& Coverage::operator+=(const Coverage& other) noexcept
{
    for (auto member : { &Coverage::granted, &Coverage::repeats, &Coverage::inProgress, &Coverage::conflicts,
             &Coverage::unavailable, &Coverage::released, &Coverage::ambiguous })
        this->*member += other.*member;
    return *this;
}

ClaimSchedule::ClaimSchedule(const ScheduleOptions& options)
    : options { options }
    , random { options.seed }
    , entries(2 + this->random.below(3))
    , keys(internal::keyCount)
{
    const auto intensity = options.faults * this->random.unit();
    this->delayedTables.delayedShare = 0.2 * intensity;
    for (std::size_t i = 0; i < this->entries.size(); ++i) {
        auto& entry = this->entries[i];
        entry.tables
            = std::make_unique<support::FaultyTableService>(this->delayedTables, this->scheduler, this->random);
        entry.objects
            = std::make_unique<support::FaultyObjectStore>(this->memoryObjects, this->scheduler, this->random);
        entry.tables->faults() = { .lostRequest = 0.3 * intensity,
            .lostAcknowledgement = 0.3 * intensity,
            .minDelay = 1ms,
            .maxDelay = this->chance(0.2 * intensity) ? 800ms : 20ms };
        entry.objects->faults() = entry.tables->faults();
        this->connect(i);
        this->scheduleFaults(i);
    }
    for (std::size_t key = 0; key < this->keys.size(); ++key) {
        const auto copies = 1 + this->random.below(5);
        auto at = this->randomDelay(internal::loadMilliseconds);
        for (std::uint64_t i = 0; i < copies; ++i) {
            const auto body = this->chance(0.1) ? "other" : "body";
            const auto entry = this->random.below(this->entries.size());
            this->scheduler.after(at, [this, key, entry, body] { this->request(key, entry, body); });
            at = this->chance(0.5) ? at + this->randomDelay(3) : this->randomDelay(internal::loadMilliseconds);
        }
    }
}

ClaimSchedule::~ClaimSchedule() = default;

ClaimKey ClaimSchedule::keyOf(std::size_t key) const { return { .team = "team", .key = std::to_string(key) }; }

void ClaimSchedule::connect(std::size_t index)
{
    auto& entry = this->entries[index];
    auto settings = this->options.claim;
    settings.entry = "entry-" + std::to_string(index);
    entry.manager = std::make_unique<ClaimManager>(
        this->clock, this->scheduler, this->random, *entry.tables, *entry.objects, settings);
}

void ClaimSchedule::scheduleFaults(std::size_t index)
{
    auto& entry = this->entries[index];
    if (this->chance(0.3 * this->options.faults)) {
        const auto begin = this->randomDelay(internal::loadMilliseconds);
        this->scheduler.after(begin, [&entry] { entry.tables->faults().down = entry.objects->faults().down = true; });
        this->scheduler.after(begin + this->randomDelay(20'000),
            [&entry] { entry.tables->faults().down = entry.objects->faults().down = false; });
    }
    if (this->chance(this->options.crash))
        this->scheduler.after(this->randomDelay(internal::loadMilliseconds), [this, index] { this->crash(index); });
}

void ClaimSchedule::crash(std::size_t index)
{
    for (const auto& request : this->requests) {
        const bool mayHold = !request->result || std::holds_alternative<Granted>(*request->result)
            || std::holds_alternative<Unavailable>(*request->result);
        if (request->entry == index && request->incarnation == this->entries[index].incarnation && mayHold)
            this->keys[request->key].orphaned = true;
    }
    ++this->entries[index].incarnation;
    this->connect(index);
}

void ClaimSchedule::request(std::size_t key, std::size_t entry, std::string body)
{
    auto request = std::make_shared<Request>();
    request->key = key;
    request->entry = entry;
    request->incarnation = this->entries[entry].incarnation;
    request->body = body;
    this->keys[key].bodies.push_back(body);
    this->requests.push_back(request);
    this->entries[entry].manager->claim({ .key = this->keyOf(key),
                                            .bodyHash = std::move(body),
                                            .deadline = this->clock.now() + internal::requestTimeout },
        [this, request](const ClaimResult& result) { this->answered(request, result); });
    this->scheduler.after(internal::requestTimeout + 1ms, [this, request] {
        const bool alive = this->entries[request->entry].incarnation == request->incarnation;
        this->violations.answerErrors += alive && request->answers != 1 ? 1 : 0;
    });
}

void ClaimSchedule::answered(const std::shared_ptr<Request>& request, const ClaimResult& result)
{
    request->result = result;
    this->violations.answerErrors += ++request->answers > 1 ? 1 : 0;
    auto& key = this->keys[request->key];
    if (const auto* granted = std::get_if<Granted>(&result))
        // A paused process may dispatch long after its claim, when its caller may have disconnected.
        this->scheduler.after(this->chance(0.1) ? this->randomDelay(60'000) : this->randomDelay(500),
            [this, request, nonce = granted->nonce] { this->dispatch(request, nonce); });
    else if (const auto* repeat = std::get_if<Repeat>(&result))
        this->checkRepeat(*request, *repeat);
    else if (std::holds_alternative<Conflict>(result))
        this->violations.falseConflicts
            += std::count(key.bodies.begin(), key.bodies.end(), request->body) == std::ssize(key.bodies) ? 1 : 0;
}

void ClaimSchedule::dispatch(const std::shared_ptr<Request>& request, std::uint64_t nonce)
{
    if (this->entries[request->entry].incarnation != request->incarnation)
        return;
    auto& key = this->keys[request->key];
    this->violations.runAfterRefusal += std::holds_alternative<Granted>(*request->result) ? 0 : 1;
    const auto kind = this->random.below(10);
    if (kind < 2) {
        this->settle(request, nonce, { .outcome = base::Outcome::NotRun, .answer = {} });
        return;
    }
    this->violations.repeatedRuns += ++key.runs > 1 ? 1 : 0;
    key.firstBody = request->body;
    if (kind < 4) {
        key.unknown = true;
        this->settle(request, nonce, { .outcome = base::Outcome::Unknown, .answer = {} });
        return;
    }
    key.done = true;
    key.answer = "answer of run " + std::to_string(nonce) + std::string(this->random.below(20), '.');
    this->settle(request, nonce, { .outcome = base::Outcome::Done, .answer = key.answer });
}

void ClaimSchedule::settle(const std::shared_ptr<Request>& request, std::uint64_t nonce, Settlement settlement)
{
    const bool outcome = settlement.outcome != base::Outcome::NotRun;
    this->entries[request->entry].manager->settle(
        this->keyOf(request->key), nonce, std::move(settlement), [this, key = request->key, outcome](bool durable) {
            this->violations.lostOutcomes += durable ? 0 : 1;
            this->keys[key].durable = this->keys[key].durable || (durable && outcome);
        });
}

void ClaimSchedule::checkRepeat(const Request& request, const Repeat& repeat)
{
    const auto& key = this->keys[request.key];
    const bool expected = repeat.outcome == base::Outcome::Done ? key.done : key.unknown;
    const bool answer = repeat.outcome != base::Outcome::Done || repeat.answer == key.answer;
    this->violations.wrongRepeats += expected && answer ? 0 : 1;
    this->violations.conflictsMissed += request.body != key.firstBody ? 1 : 0;
}

void ClaimSchedule::run()
{
    this->scheduler.runFor(internal::recoveryTime);
    for (auto& entry : this->entries) {
        entry.tables->faults() = entry.objects->faults() = { .minDelay = 1ms, .maxDelay = 20ms };
    }
    this->delayedTables.delayedShare = 0;
    this->scheduler.runFor(internal::recoveryTime);
    for (const auto& entry : this->entries) {
        this->violations.leaks += entry.manager->keys() + entry.manager->unsettledBytes();
        const auto& counts = entry.manager->counters();
        this->coverage += { .granted = counts.granted,
            .repeats = counts.repeats,
            .inProgress = counts.inProgress,
            .conflicts = counts.conflicts,
            .unavailable = counts.unavailable,
            .released = counts.released,
            .ambiguous = entry.manager->commitCounters().ambiguous };
    }
    this->checkEnd();
}

/** Repeats every key while the store is healthy. The result must be the first outcome, or a claim if nothing ran. */
void ClaimSchedule::checkEnd()
{
    for (std::size_t i = 0; i < this->keys.size(); ++i) {
        auto& key = this->keys[i];
        const auto decided = key.durable;
        const auto body = key.firstBody.empty() ? "body" : key.firstBody;
        this->request(i, this->random.below(this->entries.size()), body);
        const auto request = this->requests.back();
        this->scheduler.runFor(internal::requestTimeout + 1s);
        if (!request->result)
            continue;
        const bool repeated = std::holds_alternative<Repeat>(*request->result);
        this->violations.lostOutcomes += decided && !repeated ? 1 : 0;
        this->violations.stuckKeys += std::holds_alternative<InProgress>(*request->result) && !key.orphaned ? 1 : 0;
    }
}

} // namespace chivewinch::claim
