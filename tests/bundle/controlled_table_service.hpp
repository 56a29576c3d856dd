#pragma once

#include "store/memory_store.hpp"

#include <gtest/gtest.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace chivewinch::bundle::sample {

/** Outcome of one store operation. */
enum class OperationOutcome : std::uint8_t { Respond, LoseResponse, LoseRequest };

/** Queues an actor's store operations until the exploration chooses the outcome of each. */
class ControlledTableService final : public store::TableService {
public:
    ControlledTableService(store::MemoryTableService& memory, std::string& history) noexcept
        : memory { memory }
        , history { history }
    {
    }

    std::deque<std::function<void(OperationOutcome)>> pending;
    std::string pendingText; ///< Identity of the pending operations.

    void get(std::vector<store::RowKey> keys, GetCallback callback) override
    {
        this->pending.push_back(
            [this, keys = std::move(keys), callback = std::move(callback)](OperationOutcome outcome) {
                this->memory.get(keys, [this, outcome, callback](const auto& rows, const store::Error&) {
                    if (outcome != OperationOutcome::Respond) {
                        this->history += "read lost;";
                        callback(std::nullopt, { .code = store::ErrorCode::TimedOut, .detail = "" });
                        return;
                    }
                    for (const auto& row : *rows)
                        this->history += row.key.key + "@" + std::to_string(row.version) + ";";
                    callback(rows, {});
                });
            });
    }

    void scan(std::string, std::string, std::size_t, GetCallback) override { FAIL() << "not used by these modules"; }

    void transact(store::Transaction transaction, TransactCallback callback) override
    {
        this->pending.push_back(
            [this, transaction = std::move(transaction), callback = std::move(callback)](OperationOutcome outcome) {
                const store::Error lost { .code = store::ErrorCode::Ambiguous, .detail = "" };
                if (outcome == OperationOutcome::LoseRequest) {
                    this->history += "write lost;";
                    callback(std::nullopt, lost);
                    return;
                }
                this->memory.transact(transaction, [&](const auto& result, const store::Error&) {
                    if (outcome == OperationOutcome::LoseResponse) {
                        this->history += "write lost;";
                        callback(std::nullopt, lost);
                        return;
                    }
                    this->history += result->committed ? "committed " : "refused ";
                    for (const auto& row : result->rows)
                        this->history += row.key.key + "@" + std::to_string(row.version) + ";";
                    callback(result, {});
                });
            });
    }

private:
    store::MemoryTableService& memory;
    std::string& history;
};

} // namespace chivewinch::bundle::sample
