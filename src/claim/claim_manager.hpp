#pragma once

#include "base/clock.hpp"
#include "base/random.hpp"
#include "claim/answer_store.hpp"
#include "claim/claim.hpp"
#include "claim/claim_row.hpp"
#include "claim/group_commit.hpp"
#include "store/object_store.hpp"
#include "store/scheduler.hpp"
#include "store/table_service.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace chivewinch::claim {

/** Settings for the claims of one entry. Tests turn compareBody off. */
struct ClaimOptions {
    CommitOptions commit;
    std::string entry; ///< Name of this instance, stored in each row for operators.
    std::size_t maxRowAnswerBytes = 4U << 10;
    /** Upper bound for the answers that are not stored yet, in total. No new claims are made at the bound. */
    std::size_t maxUnsettledBytes = 16U << 20;
    std::size_t maxKeys = 10'000; ///< Upper bound for the keys that have a claim or a waiting repeat.
    std::chrono::nanoseconds pollInterval { std::chrono::milliseconds { 200 } };
    /** A claim is refused at once if its transaction is expected to wait longer than this. */
    std::chrono::nanoseconds maxWait { std::chrono::seconds { 1 } };
    bool compareBody = true;

    bool operator==(const ClaimOptions&) const = default;
};

struct ClaimCounters {
    std::uint64_t granted = 0;
    std::uint64_t repeats = 0;
    std::uint64_t inProgress = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t unavailable = 0;
    std::uint64_t released = 0; ///< Claims that were committed after their request had been answered.
    std::uint64_t droppedAnswers = 0; ///< Answers not stored because of maxUnsettledBytes.
    std::uint64_t polls = 0;

    bool operator==(const ClaimCounters&) const = default;
};

/**
 * Ensures that each non-repeatable request with a key runs at most once. Each key has one row in the table service.
 * Callbacks run on the scheduler's thread, possibly before the call returns. Not thread-safe.
 */
class ClaimManager {
public:
    ClaimManager(const base::Clock& clock, store::Scheduler& scheduler, base::RandomSource& random,
        store::TableService& tables, store::ObjectStore& objects, ClaimOptions options = {});
    ~ClaimManager();

    /** Calls back exactly once, no later than the deadline of the request. */
    void claim(ClaimRequest request, ClaimCallback callback);
    /** Settles a granted claim. The write is retried until the table service has stored it. */
    void settle(const ClaimKey& key, std::uint64_t nonce, Settlement settlement, SettleCallback callback);

    [[nodiscard]] const ClaimCounters& counters() const noexcept { return this->counts; }
    [[nodiscard]] const CommitCounters& commitCounters() const noexcept { return this->commit.counters(); }
    /** Bytes of answers that are not stored yet. */
    [[nodiscard]] std::size_t unsettledBytes() const noexcept { return this->unstoredAnswerBytes; }
    /** Number of keys with a claim or a waiting repeat. */
    [[nodiscard]] std::size_t keys() const noexcept { return this->activeKeys.size(); }

private:
    enum class State : std::uint8_t {
        Claiming, ///< The claim is being written.
        Watching, ///< Another claim holds the key; its row is polled.
        Loading, ///< The stored answer is being read.
        Granted, ///< A request of this process has the claim and may run.
        Settling, ///< The settlement is being written.
    };

    /** A request that waits for its answer. */
    struct Waiter {
        ClaimRequest request;
        ClaimCallback callback;
        store::TimerId timer {};
        bool mayHaveRun = false; ///< Another request with this key may have run.
        bool answered = false;
    };
    using WaiterPointer = std::shared_ptr<Waiter>;

    struct ActiveKey {
        ClaimKey key;
        store::RowKey row;
        State state = State::Claiming;
        WaiterPointer claimant;
        std::vector<WaiterPointer> waiters; ///< All unanswered requests, including the claimant.
        std::uint64_t version = store::absentVersion;
        ClaimRow value;
        Settlement settlement;
        bool answerDropped = false;
        SettleCallback settleCallback;
        std::size_t bytes = 0;
        std::uint32_t failures = 0;
    };
    using ActiveKeyPointer = std::shared_ptr<ActiveKey>;

    void add(const ActiveKeyPointer& item, const WaiterPointer& waiter);
    void answer(const WaiterPointer& waiter, const ClaimResult& result);
    void count(const ClaimResult& result) noexcept;
    void expire(const ActiveKeyPointer& item, const WaiterPointer& waiter);
    /** Answers Conflict to every waiter whose body hash differs from this one. */
    void refuseConflicts(const ActiveKeyPointer& item, const std::string& bodyHash);
    void answerSettled(const ActiveKeyPointer& item);
    void answerAll(const ActiveKeyPointer& item, const ClaimResult& result);
    void answerUnavailable(const ActiveKeyPointer& item);
    void remove(const ActiveKeyPointer& item);

    void startClaim(const ActiveKeyPointer& item);
    void onClaimWritten(const ActiveKeyPointer& item, const WriteResult& result);
    void grant(const ActiveKeyPointer& item);
    void applyRow(const ActiveKeyPointer& item, const store::Row& row);
    void watch(const ActiveKeyPointer& item);
    void load(const ActiveKeyPointer& item, const ClaimRow& row);
    void schedulePoll();
    void poll();
    void onPollAnswer(const std::vector<store::Row>& rows);

    void startSettle(const ActiveKeyPointer& item);
    void storeAnswer(const ActiveKeyPointer& item);
    void writeSettlement(const ActiveKeyPointer& item);
    void onSettlementWritten(const ActiveKeyPointer& item, const WriteResult& result);
    void retrySettle(const ActiveKeyPointer& item);

    /** Wraps a callback so that it does nothing once this object is destroyed. */
    template <typename Function> [[nodiscard]] auto guarded(Function function)
    {
        return [guard = std::weak_ptr { this->alive }, function = std::move(function)](auto&&... arguments) {
            if (!guard.expired())
                function(std::forward<decltype(arguments)>(arguments)...);
        };
    }

    const base::Clock& clock;
    store::Scheduler& scheduler;
    base::RandomSource& random;
    store::TableService& tables;
    ClaimOptions options;
    AnswerStore answers;
    GroupCommit commit;
    std::map<store::RowKey, ActiveKeyPointer> activeKeys;
    std::size_t unstoredAnswerBytes = 0;
    bool pollScheduled = false;
    ClaimCounters counts;
    std::shared_ptr<int> alive = std::make_shared<int>(0);
};

} // namespace chivewinch::claim
