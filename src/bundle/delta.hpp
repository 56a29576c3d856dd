#pragma once

#include "bundle/canonical.hpp"

#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace chivewinch::bundle {

/** Changes of one part. */
struct PartDelta {
    std::set<std::string> removed; ///< Record keys.
    PartRecords set; ///< New or changed records.

    bool operator==(const PartDelta&) const = default;
};

/** Difference between two contents. Its size is proportional to the number of changed records. */
struct Delta {
    std::string from; ///< Hash of the content to which the delta applies.
    std::string to; ///< Content hash after the delta is applied.
    std::map<std::string, PartDelta> parts;

    bool operator==(const Delta&) const = default;
};

[[nodiscard]] Delta difference(const Parts& from, const Parts& to);

/** Parts that the delta changes, with their new records. A part without remaining records is present and empty. */
[[nodiscard]] Parts changedParts(const Parts& parts, const Delta& delta);

/** Combines two consecutive deltas into one with the effect of applying first and then second. */
[[nodiscard]] Delta compose(Delta first, const Delta& second);

[[nodiscard]] std::string encode(const Delta& delta);
[[nodiscard]] std::optional<Delta> decodeDelta(std::string_view text);

/** Text of a manifest: a line "part hash" for each part. Its SHA-256 is the content hash. */
[[nodiscard]] std::string manifestText(const PartHashes& hashes);
[[nodiscard]] std::optional<PartHashes> parseManifest(std::string_view text);

/** Applies a delta to a decoded bundle. Returns false with a reason for a malformed record or an unknown part. */
[[nodiscard]] bool patch(Bundle& bundle, const Delta& delta, Error& reason);

} // namespace chivewinch::bundle
