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

/** Name of the lease whose holder confirms rolling versions. */
inline constexpr std::string_view rolloutLease { "rollout" };

/** Safety checks of Operations. Only tests disable one, to show which failure it prevents. */
struct OperationsOptions {
    bool compareBase = true; ///< If false, a version may replace one that rolled after its base.
    bool checkLease = true; ///< If false, a former holder of the rollout lease may confirm a version.
};

/**
 * Operations of operators on versions. Each state change is one compare-and-set transaction. If several operators make
 * conflicting changes, exactly one succeeds; the others get LostRace, and its detail names the successful operator.
 *
 * The table service and the object store should be those of a store::Client. They and this object must outlive all
 * callbacks.
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

    /** Stores a valid bundle as a new version. base is the version from which it was edited; 0 for the first one. */
    void propose(const Bundle& bundle, base::BundleVersion base, RecordCallback callback);

    /** Adds an owner's signature after reading back the parts that the version changes. */
    void sign(base::BundleVersion version, const base::OwnerId& owner, PrivateKey key, RecordCallback callback);

    /** Rolls a completely signed version: every process may then put it into force. */
    void roll(base::BundleVersion version, RecordCallback callback);

    /**
     * Withdraws a version. A version that has not rolled is only marked as withdrawn. For the version that rolled last,
     * this proposes a new version with the content of its base. The new version must be signed and rolled like any
     * other; the result is its record.
     */
    void withdraw(base::BundleVersion version, RecordCallback callback);

    /**
     * Records that all live processes use the rolling version. Only the holder of the rollout lease may call this: the
     * transaction requires that the lease row still has this fencing number.
     */
    void confirm(base::BundleVersion version, base::FencingNumber fencing, RecordCallback callback);

    void head(HeadCallback callback);
    void show(base::BundleVersion version, RecordCallback callback);
    /** Lists up to limit of the newest versions in ascending order. */
    void list(std::size_t limit, ListCallback callback);
    /** Loads the content of a version and checks it against its hash. */
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
    void readChangedParts(const Proof& proof, const ContentStore::DoneCallback& callback);
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
     * Reads the rows again to determine the result of a write that did not report success. before is a row from the
     * conditions of the write; answered is false if the store did not report the outcome.
     */
    void resolveFailedWrite(base::BundleVersion version, const std::string& nonce, const store::Row& before,
        bool answered, RecordCallback callback);
};

} // namespace chivewinch::bundle
