#include "bundle/operations.hpp"

#include "bundle/parse.hpp"

#include <algorithm>
#include <memory>
#include <utility>

namespace chivewinch::bundle {

namespace internal {

// A try fails only if another signature or a confirmation changed the row in between. This happens a few times per
// version.
constexpr int signTries = 8;

Error storeError(const store::Error& error)
{
    return { .code = ErrorCode::StoreUnavailable,
        .detail = std::string { toString(error.code) } + ": " + error.detail };
}

/** Error whose detail names the operator whose change was committed first. */
Error lostRace(base::BundleVersion version, const HeadRecord& head, const std::optional<VersionRecord>& found)
{
    auto detail = "version " + toString(version);
    if (!found)
        detail += " was not written: " + head.by + " changed the head first";
    else if (head.rolled && head.rolled->version != version && found->state != State::Proposed)
        detail += " is " + std::string { toString(found->state) } + ": " + head.by + " rolled version "
            + toString(head.rolled->version) + " first";
    else if (!found->rolledBy.empty())
        detail += " is " + std::string { toString(found->state) } + ": " + found->rolledBy + " rolled it first";
    else
        detail += " is " + std::string { toString(found->state) } + ": " + found->author + " proposed it first";
    return { .code = ErrorCode::LostRace, .detail = std::move(detail) };
}

Error noSuchVersion(base::BundleVersion version)
{
    return { .code = ErrorCode::NotFound, .detail = "version " + toString(version) + " does not exist" };
}

} // namespace internal

Operations::Operations(store::TableService& tables, store::ObjectStore& objects, base::RandomSource& random,
    TrustedKeys keys, std::string operatorName, OperationsOptions options)
    : tables { tables }
    , contents { objects }
    , random { random }
    , keys { std::move(keys) }
    , operatorName { std::move(operatorName) }
    , options { options }
{
}

std::string Operations::newNonce() { return base::toString(base::randomRequestId(this->random)); }

void Operations::readRows(base::BundleVersion version, RowsCallback callback)
{
    this->tables.get({ headKey(), versionKey(version) },
        [callback = std::move(callback)](
            const std::optional<std::vector<store::Row>>& rows, const store::Error& error) {
            if (!rows) {
                callback(std::nullopt, internal::storeError(error));
                return;
            }
            Rows result { .head = {}, .headRow = rows->at(0), .version = std::nullopt, .versionRow = rows->at(1) };
            result.version = decodeVersion(result.versionRow.value);
            const auto head = decodeHead(result.headRow.value);
            if (result.headRow.version != store::absentVersion && !head) {
                callback(std::nullopt, { .code = ErrorCode::Invalid, .detail = "malformed head row" });
                return;
            }
            result.head = head.value_or(HeadRecord {});
            callback(std::move(result), {});
        });
}

void Operations::propose(const Bundle& bundle, base::BundleVersion base, RecordCallback callback)
{
    if (const auto errors = check(bundle); !errors.empty()) {
        callback(std::nullopt,
            { .code = ErrorCode::Invalid,
                .detail = std::to_string(errors.size()) + " errors; first " + errors[0].path + ": " + errors[0].fix });
        return;
    }
    this->readRows(
        base, [this, base, parts = encode(bundle), callback = std::move(callback)](auto rows, const Error& error) {
            if (!rows) {
                callback(std::nullopt, error);
                return;
            }
            const auto current = rows->head.rolled ? rows->head.rolled->version : base::BundleVersion {};
            if (this->options.compareBase && current != base) {
                callback(std::nullopt,
                    { .code = ErrorCode::LostRace,
                        .detail = "version " + toString(current) + " by " + rows->head.by + " rolled after version "
                            + toString(base) + ", from which this bundle was edited" });
                return;
            }
            const auto content = contentHash(hashParts(parts));
            this->upload(*rows, parts, [this, rows = *rows, content, callback](bool stored, const Error& reason) {
                if (stored)
                    this->createVersion(rows, content, {}, callback);
                else
                    callback(std::nullopt, reason);
            });
        });
}

/** Stores the parts that differ from the version that rolled last, the manifest, and the delta from that version. */
void Operations::upload(const Rows& rows, Parts parts, std::function<void(bool, const Error&)> callback)
{
    if (!rows.head.rolled) {
        this->contents.putAll(ContentStore::objectsOf(parts, {}), std::move(callback));
        return;
    }
    const auto from = rows.head.rolled->content;
    this->contents.manifest(
        from, [this, from, parts = std::move(parts), callback = std::move(callback)](auto hashes, const Error& error) {
            if (!hashes && error.code != ErrorCode::StoreUnavailable) {
                // The old manifest is missing or damaged. Store all parts, so that a new version can still replace it.
                this->contents.putAll(ContentStore::objectsOf(parts, {}), callback);
                return;
            }
            if (!hashes) {
                callback(false, error);
                return;
            }
            this->contents.putAll(ContentStore::objectsOf(parts, *hashes),
                [this, from, parts, hashes = *hashes, callback](bool stored, const Error& reason) {
                    if (stored)
                        this->uploadDelta(from, hashes, parts, callback);
                    else
                        callback(false, reason);
                });
        });
}

void Operations::uploadDelta(const std::string& from, const PartHashes& oldHashes, const Parts& parts,
    std::function<void(bool, const Error&)> callback)
{
    const auto newHashes = hashParts(parts);
    PartHashes changed;
    Parts newParts;
    for (const auto& [name, hash] : oldHashes) {
        const auto found = newHashes.find(name);
        if (found == newHashes.end() || found->second != hash)
            changed.emplace(name, hash);
    }
    for (const auto& [name, records] : parts) {
        const auto found = oldHashes.find(name);
        if (found == oldHashes.end() || found->second != newHashes.at(name))
            newParts.emplace(name, records);
    }
    this->contents.parts(std::move(changed),
        [this, from, to = contentHash(newHashes), newParts = std::move(newParts), callback = std::move(callback)](
            auto oldParts, const Error& error) {
            if (!oldParts) {
                // A missing or damaged old part is not an error: without a delta, processes compare part hashes.
                const bool damaged = error.code != ErrorCode::StoreUnavailable;
                callback(damaged, damaged ? Error {} : error);
                return;
            }
            auto delta = difference(*oldParts, newParts);
            delta.from = from;
            delta.to = to;
            this->contents.putAll({ ContentStore::objectOf(delta) }, callback);
        });
}

void Operations::createVersion(
    const Rows& rows, const std::string& content, base::BundleVersion withdraws, RecordCallback callback)
{
    const auto version = base::BundleVersion { static_cast<std::uint64_t>(rows.head.last) + 1 };
    const auto nonce = this->newNonce();
    auto head = rows.head;
    head.last = version;
    head.nonce = nonce;
    // The head row names the operator who rolled last; before the first roll, the one who proposed last.
    if (!head.rolled)
        head.by = this->operatorName;
    const VersionRecord record {
        .proof = { .version = version,
            .base = rows.head.rolled ? rows.head.rolled->version : base::BundleVersion {},
            .content = content,
            .signatures = {} },
        .state = *next(State::Draft, Event::Propose),
        .author = this->operatorName,
        .proposeNonce = nonce,
        .rolledBy = {},
        .rollNonce = {},
        .withdraws = withdraws,
        .fencing = {},
        .nonce = nonce,
    };
    store::Transaction transaction {
        .conditions = { { .key = headKey(), .version = rows.headRow.version }, { .key = versionKey(version) } },
        .writes
        = { { .key = headKey(), .value = encode(head) }, { .key = versionKey(version), .value = encode(record) } },
    };
    this->tables.transact(std::move(transaction),
        [this, record, nonce, before = rows.headRow, callback = std::move(callback)](
            const auto& result, const store::Error&) {
            if (result && result->committed)
                callback(record, {});
            else
                this->resolveFailedWrite(record.proof.version, nonce, before, result.has_value(), callback);
        });
}

void Operations::resolveFailedWrite(base::BundleVersion version, const std::string& nonce, const store::Row& before,
    bool answered, RecordCallback callback)
{
    this->readRows(version,
        [version, nonce, before, answered, callback = std::move(callback)](const auto& rows, const Error& error) {
            if (!rows) {
                callback(std::nullopt, error);
                return;
            }
            const auto& found = rows->version;
            if (found && (found->nonce == nonce || found->proposeNonce == nonce || found->rollNonce == nonce)) {
                callback(found, {});
                return;
            }
            const auto& now = before.key == headKey() ? rows->headRow : rows->versionRow;
            if (!answered && now.version == before.version)
                callback(std::nullopt,
                    { .code = ErrorCode::StoreUnavailable,
                        .detail = "the write may still take effect; look at version " + toString(version) });
            else
                callback(std::nullopt, internal::lostRace(version, rows->head, found));
        });
}

void Operations::sign(base::BundleVersion version, const base::OwnerId& owner, PrivateKey key, RecordCallback callback)
{
    const auto trusted = this->keys.find(owner);
    if (trusted == this->keys.end() || std::ranges::find(trusted->second, key.publicKey()) == trusted->second.end()) {
        callback(std::nullopt,
            { .code = ErrorCode::BadSignature, .detail = "this private key is not a trusted key of owner " + owner });
        return;
    }
    this->show(version,
        [this, version, owner, key = std::move(key), callback = std::move(callback)](auto record, const Error& error) {
            if (!record) {
                callback(std::nullopt, error);
                return;
            }
            const auto signature = key.sign(statement(record->proof));
            this->readChangedParts(record->proof,
                [this, version, owner, signature, proof = record->proof, callback](bool readable, const Error& reason) {
                    if (readable)
                        this->addSignature(version, owner, signature, proof, internal::signTries, callback);
                    else
                        callback(std::nullopt, reason);
                });
        });
}

/** Reads the parts that the version changes. The unchanged parts were read when its base version was signed. */
void Operations::readChangedParts(const Proof& proof, const ContentStore::DoneCallback& callback)
{
    const auto readParts = [this, callback](PartHashes wanted) {
        this->contents.parts(std::move(wanted),
            [callback](const auto& parts, const Error& error) { callback(parts.has_value(), error); });
    };
    this->contents.manifest(
        proof.content, [this, base = proof.base, callback, readParts](const auto& hashes, const Error& error) {
            if (!hashes) {
                callback(false, error);
                return;
            }
            this->show(base, [this, hashes = *hashes, readParts](const auto& record, const Error&) {
                if (!record) {
                    readParts(hashes);
                    return;
                }
                this->contents.manifest(
                    record->proof.content, [hashes, readParts](const auto& baseHashes, const Error&) {
                        auto wanted = hashes;
                        std::erase_if(wanted, [&](const auto& part) {
                            if (!baseHashes)
                                return false;
                            const auto found = baseHashes->find(part.first);
                            return found != baseHashes->end() && found->second == part.second;
                        });
                        readParts(std::move(wanted));
                    });
            });
        });
}

void Operations::addSignature(base::BundleVersion version, const base::OwnerId& owner, const std::string& signature,
    const Proof& signedProof, int triesLeft, RecordCallback callback)
{
    this->readRows(version, [=, this, callback = std::move(callback)](auto rows, const Error& error) {
        if (!rows || !rows->version) {
            callback(std::nullopt, rows ? internal::noSuchVersion(version) : error);
            return;
        }
        auto record = *rows->version;
        if (statement(record.proof) != statement(signedProof)) {
            callback(std::nullopt, { .code = ErrorCode::Altered, .detail = "the row changed while it was signed" });
            return;
        }
        record.proof.signatures[owner] = signature;
        Error incomplete;
        const bool complete = verifyProof(record.proof, this->keys, incomplete);
        const auto state = next(record.state, complete ? Event::SignCompletely : Event::SignPartly);
        if (!state) {
            callback(std::nullopt,
                { .code = ErrorCode::WrongState,
                    .detail = "version " + toString(version) + " is " + std::string { toString(record.state) } });
            return;
        }
        record.state = *state;
        record.nonce = this->newNonce();
        this->tables.transact({ .conditions = { { .key = versionKey(version), .version = rows->versionRow.version } },
                                  .writes = { { .key = versionKey(version), .value = encode(record) } } },
            [=, this](const auto& result, const store::Error&) {
                if (result && result->committed)
                    callback(record, {});
                else if (result && triesLeft > 1) // signatures do not conflict
                    this->addSignature(version, owner, signature, signedProof, triesLeft - 1, callback);
                else
                    this->resolveFailedWrite(version, record.nonce, rows->versionRow, result.has_value(), callback);
            });
    });
}

void Operations::head(HeadCallback callback)
{
    this->readRows({}, [callback = std::move(callback)](auto rows, const Error& error) {
        callback(rows ? std::optional { rows->head } : std::nullopt, error);
    });
}

void Operations::show(base::BundleVersion version, RecordCallback callback)
{
    this->readRows(version, [version, callback = std::move(callback)](auto rows, const Error& error) {
        if (rows && !rows->version)
            callback(std::nullopt, internal::noSuchVersion(version));
        else
            callback(rows ? rows->version : std::nullopt, error);
    });
}

void Operations::list(std::size_t limit, ListCallback callback)
{
    this->head([this, limit, callback = std::move(callback)](const auto& head, const Error& error) {
        if (!head) {
            callback(std::nullopt, error);
            return;
        }
        const auto last = static_cast<std::uint64_t>(head->last);
        std::vector<store::RowKey> keys;
        for (auto version = last > limit ? last - limit + 1 : 1; version <= last; ++version)
            keys.push_back(versionKey(base::BundleVersion { version }));
        this->tables.get(std::move(keys), [callback](const auto& rows, const store::Error& reason) {
            if (!rows) {
                callback(std::nullopt, internal::storeError(reason));
                return;
            }
            std::vector<VersionRecord> records;
            for (const auto& row : *rows) {
                if (auto record = decodeVersion(row.value))
                    records.push_back(std::move(*record));
            }
            callback(std::move(records), {});
        });
    });
}

void Operations::load(base::BundleVersion version, BundleCallback callback)
{
    this->show(version, [this, callback = std::move(callback)](const auto& record, const Error& error) {
        if (!record) {
            callback(std::nullopt, error);
            return;
        }
        this->contents.load(record->proof.content, [callback](const auto& parts, const Error& reason) {
            Error malformed;
            auto bundle = parts ? decode(*parts, malformed) : std::nullopt;
            callback(std::move(bundle), parts ? malformed : reason);
        });
    });
}

} // namespace chivewinch::bundle
