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

/** Difference between two contents; its size is proportional to the change. */
struct Delta {
    std::string from; ///< Content hash that it applies to.
    std::string to; ///< Content hash after it.
    std::map<std::string, PartDelta> parts;

    bool operator==(const Delta&) const = default;
};

[[nodiscard]] Delta difference(const Parts& from, const Parts& to);

/** Parts of the delta after it is applied; a part that becomes empty is empty. */
[[nodiscard]] Parts changedParts(const Parts& parts, const Delta& delta);

/** One delta with the effect of both, the second after the first. */
[[nodiscard]] Delta compose(Delta first, const Delta& second);

[[nodiscard]] std::string encode(const Delta& delta);
[[nodiscard]] std::optional<Delta> decodeDelta(std::string_view text);

/** Text of a manifest: a line "part hash" for each part. Its SHA-256 is the content hash. */
[[nodiscard]] std::string manifestText(const PartHashes& hashes);
[[nodiscard]] std::optional<PartHashes> parseManifest(std::string_view text);

/** Replaces the records of a decoded bundle that a delta changes; false for a malformed record. */
[[nodiscard]] bool patch(Bundle& bundle, const Delta& delta, Error& reason);

} // namespace chivewinch::bundle
