#include "claim/claim_manager.hpp"

#include <algorithm>
#include <utility>

namespace chivewinch::claim {

namespace internal {

ClaimState stateOf(base::Outcome outcome) noexcept
{
    switch (outcome) {
    case base::Outcome::Done:
        return ClaimState::Done;
    case base::Outcome::NotRun:
        return ClaimState::NotRun;
    case base::Outcome::Unknown:
        break;
    }
    return ClaimState::Unknown;
}

} // namespace internal

void ClaimManager::settle(const ClaimKey& key, std::uint64_t nonce, Settlement settlement, SettleCallback callback)
{
    const auto found = this->activeKeys.find(rowKey(key));
    const bool held = found != this->activeKeys.end() && found->second->state == State::Granted
        && found->second->value.nonce == nonce;
    if (!held) {
        callback(false);
        return;
    }
    const auto item = found->second;
    item->settlement = std::move(settlement);
    item->settleCallback = std::move(callback);
    this->startSettle(item);
}

/**
 * Writes the settlement. Waiting repeats in this process get a known outcome at once. After "not run", one of them
 * claims the key again once the settlement is stored.
 */
void ClaimManager::startSettle(const ActiveKeyPointer& item)
{
    auto& settlement = item->settlement;
    item->state = State::Settling;
    item->failures = 0;
    item->answerDropped = false;
    item->value.state = internal::stateOf(settlement.outcome);
    item->value.answer = {};
    const bool done = settlement.outcome == base::Outcome::Done;
    this->answerSettled(item);
    if (!done) {
        this->writeSettlement(item);
        return;
    }
    if (this->unstoredAnswerBytes + settlement.answer.size() > this->options.maxUnsettledBytes) {
        ++this->counts.droppedAnswers;
        settlement.answer.clear();
        item->answerDropped = true;
        this->writeSettlement(item);
        return;
    }
    item->bytes = settlement.answer.size();
    this->unstoredAnswerBytes += item->bytes;
    this->storeAnswer(item);
}

void ClaimManager::answerSettled(const ActiveKeyPointer& item)
{
    const auto outcome = item->settlement.outcome;
    if (outcome == base::Outcome::NotRun)
        return;
    Repeat repeat { .outcome = outcome, .answer = std::nullopt };
    if (outcome == base::Outcome::Done && !item->answerDropped)
        repeat.answer = item->settlement.answer;
    this->answerAll(item, repeat);
}

void ClaimManager::storeAnswer(const ActiveKeyPointer& item)
{
    this->answers.put(item->settlement.answer, this->guarded([this, item](const std::optional<StoredAnswer>& stored) {
        if (!stored) {
            this->retrySettle(item);
            return;
        }
        item->value.answer = *stored;
        this->writeSettlement(item);
    }));
}

void ClaimManager::writeSettlement(const ActiveKeyPointer& item)
{
    this->commit.submit({ .key = item->row, .expectedVersion = item->version, .value = encode(item->value) }, {},
        this->guarded([this, item](const WriteResult& result) { this->onSettlementWritten(item, result); }));
}

void ClaimManager::retrySettle(const ActiveKeyPointer& item)
{
    this->scheduler.after(this->commit.backOff(item->failures++), this->guarded([this, item] {
        const bool stored = item->value.answer != StoredAnswer {};
        if (item->bytes > 0 && !stored)
            this->storeAnswer(item);
        else
            this->writeSettlement(item);
    }));
}

/** Only this process changes the row of its claim, so a conflict means that an earlier attempt took effect. */
void ClaimManager::onSettlementWritten(const ActiveKeyPointer& item, const WriteResult& result)
{
    if (result.status == WriteStatus::Unavailable) {
        this->retrySettle(item);
        return;
    }
    this->unstoredAnswerBytes -= std::exchange(item->bytes, 0);
    if (const auto callback = std::exchange(item->settleCallback, {}))
        callback(true);
    if (result.status == WriteStatus::Conflicted) {
        this->applyRow(item, result.row);
        return;
    }
    item->version = result.row.version;
    for (const auto& waiter : item->waiters)
        waiter->mayHaveRun = false;
    this->startClaim(item);
}

} // namespace chivewinch::claim
