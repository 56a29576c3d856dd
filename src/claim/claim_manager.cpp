#include "claim/claim_manager.hpp"

#include <algorithm>
#include <utility>

namespace chivewinch::claim {

ClaimManager::ClaimManager(const base::Clock& clock, store::Scheduler& scheduler, base::RandomSource& random,
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

ClaimManager::~ClaimManager() = default;

void ClaimManager::claim(ClaimRequest request, ClaimCallback callback)
{
    auto waiter = std::make_shared<Waiter>();
    waiter->request = std::move(request);
    waiter->callback = std::move(callback);
    auto row = rowKey(waiter->request.key);
    if (const auto found = this->activeKeys.find(row); found != this->activeKeys.end()) {
        this->add(found->second, waiter);
        return;
    }
    const auto wait = this->commit.expectedWait();
    const bool full = wait > this->options.maxWait || this->activeKeys.size() >= this->options.maxKeys
        || this->unstoredAnswerBytes >= this->options.maxUnsettledBytes;
    // Refuse a claim at once if it cannot be sent before its deadline.
    if (full || this->clock.now() + wait >= waiter->request.deadline) {
        this->answer(waiter, Unavailable {});
        return;
    }
    auto item = std::make_shared<ActiveKey>();
    item->key = waiter->request.key;
    item->row = row;
    this->activeKeys.emplace(std::move(row), item);
    this->add(item, waiter);
    this->startClaim(item);
}

/** Adds a request to a key. If this process already knows the outcome, the request is answered at once. */
void ClaimManager::add(const ActiveKeyPointer& item, const WaiterPointer& waiter)
{
    const bool held = item->state == State::Granted || item->state == State::Settling;
    waiter->mayHaveRun = item->state != State::Claiming;
    item->waiters.push_back(waiter);
    const auto delay = waiter->request.deadline - this->clock.now();
    waiter->timer = this->scheduler.after(std::max<std::chrono::nanoseconds>(delay, {}),
        this->guarded([this, item, waiter] { this->expire(item, waiter); }));
    if (held)
        this->refuseConflicts(item, item->value.bodyHash);
    if (item->state == State::Settling)
        this->answerSettled(item);
}

void ClaimManager::answer(const WaiterPointer& waiter, const ClaimResult& result)
{
    if (std::exchange(waiter->answered, true))
        return;
    this->scheduler.cancel(waiter->timer);
    this->count(result);
    waiter->callback(result);
}

void ClaimManager::count(const ClaimResult& result) noexcept
{
    std::uint64_t* const counters[] { &this->counts.granted, &this->counts.repeats, &this->counts.inProgress,
        &this->counts.conflicts, &this->counts.unavailable };
    ++*counters[result.index()];
}

void ClaimManager::expire(const ActiveKeyPointer& item, const WaiterPointer& waiter)
{
    std::erase(item->waiters, waiter);
    if (item->state == State::Watching && item->waiters.empty())
        this->remove(item);
    this->answer(waiter, waiter->mayHaveRun ? ClaimResult { InProgress {} } : ClaimResult { Unavailable {} });
}

void ClaimManager::refuseConflicts(const ActiveKeyPointer& item, const std::string& bodyHash)
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

void ClaimManager::answerAll(const ActiveKeyPointer& item, const ClaimResult& result)
{
    for (const auto& waiter : std::exchange(item->waiters, {}))
        this->answer(waiter, result);
}

void ClaimManager::answerUnavailable(const ActiveKeyPointer& item)
{
    for (const auto& waiter : std::exchange(item->waiters, {}))
        this->answer(waiter, waiter->mayHaveRun ? ClaimResult { InProgress {} } : ClaimResult { Unavailable {} });
}

void ClaimManager::remove(const ActiveKeyPointer& item)
{
    const auto found = this->activeKeys.find(item->row);
    if (found != this->activeKeys.end() && found->second == item)
        this->activeKeys.erase(found);
}

/** Writes a claim for the oldest unanswered request. Removes the key if there is none. */
void ClaimManager::startClaim(const ActiveKeyPointer& item)
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
        this->guarded([this, item](const WriteResult& result) { this->onClaimWritten(item, result); }));
}

void ClaimManager::onClaimWritten(const ActiveKeyPointer& item, const WriteResult& result)
{
    switch (result.status) {
    case WriteStatus::Committed:
        item->version = result.row.version;
        this->grant(item);
        break;
    case WriteStatus::Conflicted:
        this->applyRow(item, result.row);
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
void ClaimManager::grant(const ActiveKeyPointer& item)
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
        waiter->mayHaveRun = true;
    this->refuseConflicts(item, item->value.bodyHash);
    this->answer(claimant, Granted { .nonce = item->value.nonce });
}

/** Handles the current row of a key after a conflict or a poll. */
void ClaimManager::applyRow(const ActiveKeyPointer& item, const store::Row& row)
{
    item->version = row.version;
    if (row.version == store::absentVersion) {
        this->startClaim(item);
        return;
    }
    const auto value = decode(row.value);
    for (const auto& waiter : item->waiters)
        waiter->mayHaveRun = true;
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
            waiter->mayHaveRun = false;
        this->startClaim(item);
        break;
    case ClaimState::Unknown:
        this->remove(item);
        this->answerAll(item, Repeat { .outcome = base::Outcome::Unknown, .answer = std::nullopt });
        break;
    }
}

void ClaimManager::watch(const ActiveKeyPointer& item)
{
    item->state = State::Watching;
    if (item->waiters.empty())
        this->remove(item);
    else
        this->schedulePoll();
}

void ClaimManager::load(const ActiveKeyPointer& item, const ClaimRow& row)
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

void ClaimManager::schedulePoll()
{
    if (!std::exchange(this->pollScheduled, true))
        this->scheduler.after(this->options.pollInterval, this->guarded([this] { this->poll(); }));
}

void ClaimManager::poll()
{
    this->pollScheduled = false;
    std::vector<std::vector<store::RowKey>> chunks;
    for (const auto& [row, item] : this->activeKeys) {
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
                this->onPollAnswer(*rows);
        }));
    }
    if (!chunks.empty())
        this->schedulePoll();
}

void ClaimManager::onPollAnswer(const std::vector<store::Row>& rows)
{
    for (const auto& row : rows) {
        const auto found = this->activeKeys.find(row.key);
        if (found == this->activeKeys.end() || found->second->state != State::Watching)
            continue;
        const auto item = found->second;
        this->applyRow(item, row);
    }
}

} // namespace chivewinch::claim
