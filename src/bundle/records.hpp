#pragma once

#include "bundle/life_cycle.hpp"
#include "bundle/proof.hpp"
#include "store/table_service.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chivewinch::bundle {

/** Row of the version that rolled last. Readers poll only this row. */
struct HeadRecord {
    base::BundleVersion last {}; ///< Largest version ever proposed.
    std::optional<Proof> rolled; ///< Newest version that every process may put into force.
    std::string by; ///< Operator who rolled last; before the first roll, the one who proposed last.
    std::string nonce; ///< Unique nonce of the last write.

    bool operator==(const HeadRecord&) const = default;
};

/** Row of one version. */
struct VersionRecord {
    Proof proof;
    State state = State::Draft;
    std::string author; ///< Operator who proposed it.
    std::string proposeNonce; ///< Nonce of the write that created the row.
    std::string rolledBy;
    std::string rollNonce; ///< Nonce of the write that rolled the version.
    base::BundleVersion withdraws {}; ///< Version that this one withdraws by restoring older content; 0 if none.
    base::FencingNumber fencing {}; ///< Fencing number of the rollout lease under which it was confirmed.
    std::string nonce; ///< Unique nonce of the last write.

    bool operator==(const VersionRecord&) const = default;
};

[[nodiscard]] std::string encode(const HeadRecord& record);
[[nodiscard]] std::string encode(const VersionRecord& record);
[[nodiscard]] std::optional<HeadRecord> decodeHead(std::string_view text);
[[nodiscard]] std::optional<VersionRecord> decodeVersion(std::string_view text);

[[nodiscard]] store::RowKey headKey();
[[nodiscard]] store::RowKey versionKey(base::BundleVersion version);

/** Version as a decimal number. */
[[nodiscard]] std::string toString(base::BundleVersion version);

} // namespace chivewinch::bundle
