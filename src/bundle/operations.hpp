#pragma once

#include "base/random.hpp"
#include "bundle/bundle.hpp"
#include "bundle/content_store.hpp"
#include "bundle/records.hpp"
#include "bundle/signature.hpp"
#include "store/table_service.hpp"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chivewinch::bundle {

/** Name of the lease for the duty to confirm rolling versions. */
inline constexpr std::string_view rolloutLease { "rollout" };

/** Switches of Operations; each is on except in tests that show what it is for. */
struct OperationsOptions {
    bool compareBase = true; ///< Off: a version may roll over another one that rolled in between.
    bool checkLease = true; ///< Off: a former holder of the rollout lease may confirm a version.
};

/**
 * What operators do with versions. Each change of state is one compare-and-set transaction; of racing operators
 * exactly one wins, and the others get LostRace with the winner's name in the detail.
 *
 * The services should be those of a store::Client, and must outlive all callbacks, as must this object.
 */
class Operations {
public:
    using RecordCallback = std::function<void(std::optional<VersionRecord>, const Error&)>;
    using ListCallback = std::function<void(std::optional<std::vector<VersionRecord>>, const Error&)>;
    using HeadCallback = std::function<void(std::optional<HeadRecord>, const Error&)>;
    using BundleCallback = std::function<void(std::optional<Bundle>, const Error&)>;

    Operations(store::TableService& tables, store::ObjectStore& objects, base::RandomSource& random, TrustedKeys keys,
        std::string operatorName, OperationsOptions options = {});
    Operations(const Operations&) = delete;
    Operations& operator=(const Operations&) = delete;
    ~Operations() = default;

    /** Stores a valid bundle as a new version. base is the version that it was edited from, 0 for the first. */
    void propose(const Bundle& bundle, base::BundleVersion base, RecordCallback callback);

    /** Adds an owner's signature after reading back the parts that the version changes. */
    void sign(base::BundleVersion version, const base::OwnerId& owner, PrivateKey key, RecordCallback callback);

    /** Lets every process put a completely signed version into force. */
    void roll(base::BundleVersion version, RecordCallback callback);

    /**
     * Gives up a version that has not rolled. For the version in force, proposes a new version with the content
     * before it, which must be signed and rolled like any other; the result is the record of that version.
     */
    void withdraw(base::BundleVersion version, RecordCallback callback);

    /**
     * Records that all live processes use the rolling version; for the holder of the rollout lease. The transaction
     * requires that the lease row still has this fencing number.
     */
    void confirm(base::BundleVersion version, base::FencingNumber fencing, RecordCallback callback);

    void head(HeadCallback callback);
    void show(base::BundleVersion version, RecordCallback callback);
    /** The newest versions, newest last, at most limit. */
    void list(std::size_t limit, ListCallback callback);
    /** Content of a version, checked against its hash. */
    void load(base::BundleVersion version, BundleCallback callback);

private:
    struct Rows {
        HeadRecord head;
        store::Row headRow;
        std::optional<VersionRecord> version;
        store::Row versionRow;
    };
    using RowsCallback = std::function<void(std::optional<Rows>, const Error&)>;

    store::TableService& tables;
    ContentStore contents;
    base::RandomSource& random;
    TrustedKeys keys;
    std::string operatorName;
    OperationsOptions options;

    [[nodiscard]] std::string newNonce();
    void readRows(base::BundleVersion version, RowsCallback callback);
    void upload(const Rows& rows, Parts parts, std::function<void(bool, const Error&)> callback);
    void uploadDelta(const std::string& from, const PartHashes& oldHashes, const Parts& parts,
        std::function<void(bool, const Error&)> callback);
    void createVersion(
        const Rows& rows, const std::string& content, base::BundleVersion withdraws, RecordCallback callback);
    void readBack(const Proof& proof, const ContentStore::DoneCallback& callback);
    void addSignature(base::BundleVersion version, const base::OwnerId& owner, const std::string& signature,
        const Proof& signedProof, int triesLeft, RecordCallback callback);
    void rollRows(const Rows& rows, int triesLeft, RecordCallback callback);
    void commitRoll(
        const Rows& rows, const std::optional<store::Row>& previous, int triesLeft, RecordCallback callback);
    void withdrawUnrolled(const Rows& rows, RecordCallback callback);
    void withdrawRolled(const Rows& rows, RecordCallback callback);
    void confirmRows(const Rows& rows, const store::Row& lease, base::FencingNumber fencing, RecordCallback callback);
    void update(
        const store::Row& row, VersionRecord record, std::vector<store::Condition> conditions, RecordCallback callback);
    /**
     * Result of a write that did not report success, after a re-read. before is a row that the write had as a
     * condition; answered is false if the store did not tell the outcome.
     */
    void explainLoss(base::BundleVersion version, const std::string& nonce, const store::Row& before, bool answered,
        RecordCallback callback);
};

} // namespace chivewinch::bundle
