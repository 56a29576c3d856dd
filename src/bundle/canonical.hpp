#pragma once

#include "bundle/bundle.hpp"
#include "bundle/error.hpp"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace chivewinch::bundle {

/** Records of one part: canonical JSON by record key. */
using PartRecords = std::map<std::string, std::string, std::less<>>;

/** Canonical form of a bundle: its non-empty parts by name, e.g. "team/3f". */
using Parts = std::map<std::string, PartRecords, std::less<>>;

/** SHA-256 of each part by part name. */
using PartHashes = std::map<std::string, std::string, std::less<>>;

/** Splits a valid bundle into its canonical parts. */
[[nodiscard]] Parts encode(const Bundle& bundle);

/** Inverse of encode. Fails with Invalid if a record is malformed or stored in the wrong part. */
[[nodiscard]] std::optional<Bundle> decode(const Parts& parts, Error& reason);

/** Bytes of one part: a line "key json" for each record in key order. */
[[nodiscard]] std::string partText(const PartRecords& records);
/** Inverse of partText; nullopt for text that partText cannot produce. */
[[nodiscard]] std::optional<PartRecords> parsePartText(std::string_view text);

[[nodiscard]] PartHashes hashParts(const Parts& parts);

/** SHA-256 of the lines "part hash" in part order. Identifies the content independently of its version. */
[[nodiscard]] std::string contentHash(const PartHashes& hashes);
[[nodiscard]] std::string contentHash(const Bundle& bundle);

/** Writes the bundle as TOML that parse accepts, for operators. */
[[nodiscard]] std::string toToml(const Bundle& bundle);

} // namespace chivewinch::bundle
