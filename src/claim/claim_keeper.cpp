#include "claim/claim_keeper.hpp"

#include <algorithm>
#include <utility>

namespace chivewinch::claim {

ClaimKeeper::ClaimKeeper(const base::Clock& clock, store::Scheduler& scheduler, base::RandomSource& random,
    store::TableService& tables, store::ObjectStore& objects, ClaimOptions options)
    : clock { clock }
    , scheduler { scheduler }
    , random { random }
    , tables { tables }
    , options { std::move(options) }
    , answers { objects, this->options.maxRowAnswerBytes }
    , commit { clock, tables, scheduler, random, this->options.commit }
{
}

ClaimKeeper::~ClaimKeeper() = default;

void ClaimKeeper::claim(ClaimRequest request, ClaimCallback callback)
{
    auto waiter = std::make_shared<Waiter>();
    waiter->request = std::move(request);
    waiter->callback = std::move(callback);
    auto row = rowKey(waiter->request.key);
    if (const auto found = this->active.find(row); found != this->active.end()) {
        this->add(found->second, waiter);
        return;
    }
    const auto wait = this->commit.expectedWait();
    const bool full = wait > this->options.maxWait || this->active.size() >= this->options.maxKeys
        || this->unsettled >= this->options.maxUnsettledBytes;
    // Refuse a claim at once if it cannot be sent before its deadline.
    if (full || this->clock.now() + wait >= waiter->request.deadline) {
        this->answer(waiter, Unavailable {});
        return;
    }
    auto item = std::make_shared<Active>();
    item->key = waiter->request.key;
    item->row = row;
    this->active.emplace(std::move(row), item);
    this->add(item, waiter);
    this->startClaim(item);
}

/** Adds a request to a key. If this process already knows the outcome, the request is answered at once. */
void ClaimKeeper::add(const ActivePointer& item, const WaiterPointer& waiter)
{
    const bool held = item->state == State::Granted || item->state == State::Settling;
    waiter->sawFirst = item->state != State::Claiming;
    item->waiters.push_back(waiter);
    const auto delay = waiter->request.deadline - this->clock.now();
    waiter->timer = this->scheduler.after(std::max<std::chrono::nanoseconds>(delay, {}),
        this->guarded([this, item, waiter] { this->expire(item, waiter); }));
    if (held)
        this->refuseConflicts(item, item->value.bodyHash);
    if (item->state == State::Settling)
        this->answerSettled(item);
}

void ClaimKeeper::answer(const WaiterPointer& waiter, const ClaimResult& result)
{
    if (std::exchange(waiter->answered, true))
        return;
    this->scheduler.cancel(waiter->timer);
    this->count(result);
    waiter->callback(result);
}

void ClaimKeeper::count(const ClaimResult& result) noexcept
{
    std::uint64_t* const counters[] { &this->counts.granted, &this->counts.repeats, &this->counts.inProgress,
        &this->counts.conflicts, &this->counts.unavailable };
    ++*counters[result.index()];
}

void ClaimKeeper::expire(const ActivePointer& item, const WaiterPointer& waiter)
{
    std::erase(item->waiters, waiter);
    if (item->state == State::Watching && item->waiters.empty())
        this->remove(item);
    this->answer(waiter, waiter->sawFirst ? ClaimResult { InProgress {} } : ClaimResult { Unavailable {} });
}

void ClaimKeeper::refuseConflicts(const ActivePointer& item, const std::string& bodyHash)
{
    if (!this->options.compareBody)
        return;
    const auto differs = [&](const WaiterPointer& waiter) { return waiter->request.bodyHash != bodyHash; };
    const auto first = std::stable_partition(
        item->waiters.begin(), item->waiters.end(), [&](const auto& waiter) { return !differs(waiter); });
    const std::vector<WaiterPointer> refused { first, item->waiters.end() };
    item->waiters.erase(first, item->waiters.end());
    for (const auto& waiter : refused)
        this->answer(waiter, Conflict {});
}

void ClaimKeeper::answerAll(const ActivePointer& item, const ClaimResult& result)
{
    for (const auto& waiter : std::exchange(item->waiters, {}))
        this->answer(waiter, result);
}

void ClaimKeeper::answerUnavailable(const ActivePointer& item)
{
    for (const auto& waiter : std::exchange(item->waiters, {}))
        this->answer(waiter, waiter->sawFirst ? ClaimResult { InProgress {} } : ClaimResult { Unavailable {} });
}

void ClaimKeeper::remove(const ActivePointer& item)
{
    const auto found = this->active.find(item->row);
    if (found != this->active.end() && found->second == item)
        this->active.erase(found);
}

/** Writes a claim for the oldest unanswered request. Removes the key if there is none. */
void ClaimKeeper::startClaim(const ActivePointer& item)
{
    if (item->waiters.empty()) {
        this->remove(item);
        return;
    }
    item->state = State::Claiming;
    item->claimant = item->waiters.front();
    item->value = { .nonce = this->random.next(),
        .bodyHash = item->claimant->request.bodyHash,
        .state = ClaimState::Claimed,
        .entry = this->options.entry,
        .at = this->clock.wallNow() };
    this->commit.submit(
        { .key = item->row, .expectedVersion = item->version, .value = encode(item->value) },
        [claimant = item->claimant] { return !claimant->answered; },
        this->guarded([this, item](const WriteResult& result) { this->claimWritten(item, result); }));
}

void ClaimKeeper::claimWritten(const ActivePointer& item, const WriteResult& result)
{
    switch (result.status) {
    case WriteStatus::Committed:
        item->version = result.row.version;
        this->grant(item);
        break;
    case WriteStatus::Conflicted:
        this->follow(item, result.row);
        break;
    case WriteStatus::Unavailable:
        // The claimant reached its deadline, and this may be why the write was not sent. The other waiters have not
        // reached theirs, so one of them claims.
        if (item->claimant->answered && !item->waiters.empty()) {
            this->startClaim(item);
            break;
        }
        this->remove(item);
        this->answerUnavailable(item);
        break;
    }
}

/** Grants the claim. If its request was answered in the meantime, settles the claim as not run. */
void ClaimKeeper::grant(const ActivePointer& item)
{
    const auto claimant = std::exchange(item->claimant, nullptr);
    if (claimant->answered) {
        ++this->counts.released;
        item->settlement = { .outcome = base::Outcome::NotRun, .answer = {} };
        this->startSettle(item);
        return;
    }
    item->state = State::Granted;
    std::erase(item->waiters, claimant);
    for (const auto& waiter : item->waiters)
        waiter->sawFirst = true;
    this->refuseConflicts(item, item->value.bodyHash);
    this->answer(claimant, Granted { .nonce = item->value.nonce });
}

/** Handles the current row of a key after a conflict or a poll. */
void ClaimKeeper::follow(const ActivePointer& item, const store::Row& row)
{
    item->version = row.version;
    if (row.version == store::absentVersion) {
        this->startClaim(item);
        return;
    }
    const auto value = decode(row.value);
    for (const auto& waiter : item->waiters)
        waiter->sawFirst = true;
    if (!value) {
        this->remove(item);
        this->answerAll(item, InProgress {});
        return;
    }
    this->refuseConflicts(item, value->bodyHash);
    switch (value->state) {
    case ClaimState::Claimed:
        this->watch(item);
        break;
    case ClaimState::Done:
        this->load(item, *value);
        break;
    case ClaimState::NotRun:
        for (const auto& waiter : item->waiters)
            waiter->sawFirst = false;
        this->startClaim(item);
        break;
    case ClaimState::Unknown:
        this->remove(item);
        this->answerAll(item, Repeat { .outcome = base::Outcome::Unknown, .answer = std::nullopt });
        break;
    }
}

void ClaimKeeper::watch(const ActivePointer& item)
{
    item->state = State::Watching;
    if (item->waiters.empty())
        this->remove(item);
    else
        this->schedulePoll();
}

void ClaimKeeper::load(const ActivePointer& item, const ClaimRow& row)
{
    item->state = State::Loading;
    const auto loaded = [this, item, hash = row.bodyHash](const std::optional<std::optional<std::string>>& bytes) {
        if (!bytes) {
            this->watch(item);
            return;
        }
        this->refuseConflicts(item, hash); // Requests may have been added during the read.
        this->remove(item);
        this->answerAll(item, Repeat { .outcome = base::Outcome::Done, .answer = *bytes });
    };
    this->answers.get(row.answer, this->guarded(loaded));
}

void ClaimKeeper::schedulePoll()
{
    if (!std::exchange(this->pollSet, true))
        this->scheduler.after(this->options.pollInterval, this->guarded([this] { this->poll(); }));
}

void ClaimKeeper::poll()
{
    this->pollSet = false;
    std::vector<std::vector<store::RowKey>> chunks;
    for (const auto& [row, item] : this->active) {
        if (item->state != State::Watching)
            continue;
        if (chunks.empty() || chunks.back().size() >= this->options.commit.maxBatch)
            chunks.emplace_back();
        chunks.back().push_back(row);
    }
    for (auto& keys : chunks) {
        ++this->counts.polls;
        this->tables.get(std::move(keys), this->guarded([this](const auto& rows, const store::Error&) {
            if (rows)
                this->polled(*rows);
        }));
    }
    if (!chunks.empty())
        this->schedulePoll();
}

void ClaimKeeper::polled(const std::vector<store::Row>& rows)
{
    for (const auto& row : rows) {
        const auto found = this->active.find(row.key);
        if (found == this->active.end() || found->second->state != State::Watching)
            continue;
        const auto item = found->second;
        this->follow(item, row);
    }
}

} // namespace chivewinch::claim
