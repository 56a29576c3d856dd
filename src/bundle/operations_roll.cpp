#include "bundle/operations.hpp"
#include "lease/lease_record.hpp"

#include <algorithm>
#include <memory>
#include <utility>

namespace chivewinch::bundle {

namespace internal {

// A try fails if the previous version is confirmed in between, which happens once per version.
constexpr int rollTries = 4;

Error wrongState(const VersionRecord& record, std::string_view operation)
{
    return { .code = ErrorCode::WrongState,
        .detail = "version " + toString(record.proof.version) + " is " + std::string { toString(record.state) }
            + " and cannot be " + std::string { operation } };
}

Error versionNotFound(base::BundleVersion version)
{
    return { .code = ErrorCode::NotFound, .detail = "version " + toString(version) + " does not exist" };
}

} // namespace internal

void Operations::roll(base::BundleVersion version, RecordCallback callback)
{
    this->readRows(version, [this, version, callback = std::move(callback)](auto rows, const Error& error) {
        if (rows && rows->version)
            this->rollRows(*rows, internal::rollTries, callback);
        else
            callback(std::nullopt, rows ? internal::versionNotFound(version) : error);
    });
}

void Operations::rollRows(const Rows& rows, int triesLeft, RecordCallback callback)
{
    const auto& record = *rows.version;
    const auto current = rows.head.rolled ? rows.head.rolled->version : base::BundleVersion {};
    if (current == record.proof.version) {
        callback(std::nullopt,
            { .code = ErrorCode::LostRace,
                .detail = record.rolledBy + " rolled version " + toString(current) + " first" });
        return;
    }
    if (!next(record.state, Event::Roll)) {
        callback(std::nullopt, internal::wrongState(record, "rolled"));
        return;
    }
    Error invalid;
    if (!verifyProof(record.proof, this->keys, invalid)) {
        callback(std::nullopt, invalid);
        return;
    }
    if (this->options.compareBase && current != record.proof.base) {
        callback(std::nullopt,
            { .code = ErrorCode::LostRace,
                .detail = rows.head.by + " rolled version " + toString(current) + " first; version "
                    + toString(record.proof.version) + " is based on version " + toString(record.proof.base) });
        return;
    }
    if (!rows.head.rolled) {
        this->commitRoll(rows, std::nullopt, triesLeft, std::move(callback));
        return;
    }
    this->tables.get({ versionKey(current) },
        [this, rows, triesLeft, callback = std::move(callback)](const auto& previous, const store::Error& error) {
            if (previous)
                this->commitRoll(rows, previous->front(), triesLeft, callback);
            else
                callback(std::nullopt, { .code = ErrorCode::StoreUnavailable, .detail = error.detail });
        });
}

void Operations::commitRoll(
    const Rows& rows, const std::optional<store::Row>& previous, int triesLeft, RecordCallback callback)
{
    auto record = *rows.version;
    record.state = *next(record.state, Event::Roll);
    record.rolledBy = this->operatorName;
    record.rollNonce = this->newNonce();
    record.nonce = record.rollNonce;
    const auto key = versionKey(record.proof.version);
    store::Transaction transaction {
        .conditions
        = { { .key = headKey(), .version = rows.headRow.version }, { .key = key, .version = rows.versionRow.version } },
        .writes = { { .key = headKey(),
                        .value = encode(HeadRecord { .last = rows.head.last,
                            .rolled = record.proof,
                            .by = this->operatorName,
                            .nonce = record.nonce }) },
            { .key = key, .value = encode(record) } },
    };
    auto replaced = previous ? decodeVersion(previous->value) : std::nullopt;
    if (replaced) {
        const bool withdrawn = record.withdraws == replaced->proof.version;
        replaced->state
            = next(replaced->state, withdrawn ? Event::Withdraw : Event::Supersede).value_or(replaced->state);
        replaced->nonce = record.nonce;
        transaction.conditions.push_back({ .key = previous->key, .version = previous->version });
        transaction.writes.push_back({ .key = previous->key, .value = encode(*replaced) });
    }
    this->tables.transact(std::move(transaction),
        [this, record, rows, triesLeft, callback = std::move(callback)](const auto& result, const store::Error&) {
            if (result && result->committed) {
                callback(record, {});
                return;
            }
            // A confirmation of the previous version changes neither of these two rows, so the roll is tried again.
            const bool conflict = !result || std::ranges::any_of(result->rows, [&](const auto& row) {
                return row.key == headKey() || row.key == rows.versionRow.key;
            });
            if (!conflict && triesLeft > 1)
                this->rollRows(rows, triesLeft - 1, callback);
            else
                this->resolveFailedWrite(
                    record.proof.version, record.nonce, rows.headRow, result.has_value(), callback);
        });
}

void Operations::withdraw(base::BundleVersion version, RecordCallback callback)
{
    this->readRows(version, [this, version, callback = std::move(callback)](auto rows, const Error& error) {
        if (!rows || !rows->version)
            callback(std::nullopt, rows ? internal::versionNotFound(version) : error);
        else if (rows->head.rolled && rows->head.rolled->version == version)
            this->withdrawRolled(*rows, callback);
        else
            this->withdrawUnrolled(*rows, callback);
    });
}

void Operations::withdrawUnrolled(const Rows& rows, RecordCallback callback)
{
    auto record = *rows.version;
    const auto state = next(record.state, Event::Withdraw);
    if (!state) {
        callback(std::nullopt, internal::wrongState(record, "withdrawn"));
        return;
    }
    record.state = *state;
    this->update(rows.versionRow, std::move(record), {}, std::move(callback));
}

void Operations::withdrawRolled(const Rows& rows, RecordCallback callback)
{
    const auto older = rows.version->proof.base;
    if (older == base::BundleVersion {}) {
        callback(std::nullopt,
            { .code = ErrorCode::WrongState,
                .detail = "version " + toString(rows.version->proof.version)
                    + " is the first; propose a new version instead" });
        return;
    }
    this->show(older, [this, rows, callback = std::move(callback)](const auto& record, const Error& error) {
        if (!record) {
            callback(std::nullopt, error);
            return;
        }
        const auto content = record->proof.content;
        this->contents.load(content, [this, rows, content, callback](auto parts, const Error& reason) {
            if (!parts) {
                callback(std::nullopt, reason);
                return;
            }
            this->upload(rows, std::move(*parts), [this, rows, content, callback](bool stored, const Error& failed) {
                if (stored)
                    this->createVersion(rows, content, rows.version->proof.version, callback);
                else
                    callback(std::nullopt, failed);
            });
        });
    });
}

void Operations::confirm(base::BundleVersion version, base::FencingNumber fencing, RecordCallback callback)
{
    this->readRows(version, [this, version, fencing, callback = std::move(callback)](auto rows, const Error& error) {
        if (!rows || !rows->version) {
            callback(std::nullopt, rows ? internal::versionNotFound(version) : error);
            return;
        }
        const store::RowKey leaseKey { .table = std::string { lease::leaseTable },
            .key = std::string { rolloutLease } };
        this->tables.get(
            { leaseKey }, [this, rows = *rows, fencing, callback](const auto& found, const store::Error& reason) {
                if (found)
                    this->confirmRows(rows, found->front(), fencing, callback);
                else
                    callback(std::nullopt, { .code = ErrorCode::StoreUnavailable, .detail = reason.detail });
            });
    });
}

void Operations::confirmRows(
    const Rows& rows, const store::Row& lease, base::FencingNumber fencing, RecordCallback callback)
{
    auto record = *rows.version;
    const auto state = next(record.state, Event::Confirm);
    if (!state) {
        callback(std::nullopt, internal::wrongState(record, "confirmed"));
        return;
    }
    std::vector<store::Condition> conditions;
    if (this->options.checkLease) {
        const auto holder = lease::decode(lease.value);
        if (!holder || holder->fencing != fencing) {
            callback(std::nullopt,
                { .code = ErrorCode::LostRace,
                    .detail = "the rollout lease is no longer held under fencing number "
                        + std::to_string(static_cast<std::uint64_t>(fencing)) });
            return;
        }
        conditions.push_back({ .key = lease.key, .version = lease.version });
    }
    record.state = *state;
    record.fencing = fencing;
    this->update(rows.versionRow, std::move(record), std::move(conditions), std::move(callback));
}

void Operations::update(
    const store::Row& row, VersionRecord record, std::vector<store::Condition> conditions, RecordCallback callback)
{
    record.nonce = this->newNonce();
    conditions.push_back({ .key = row.key, .version = row.version });
    this->tables.transact(
        { .conditions = std::move(conditions), .writes = { { .key = row.key, .value = encode(record) } } },
        [this, row, record, callback = std::move(callback)](const auto& result, const store::Error&) {
            if (result && result->committed)
                callback(record, {});
            else
                this->resolveFailedWrite(record.proof.version, record.nonce, row, result.has_value(), callback);
        });
}

} // namespace chivewinch::bundle
