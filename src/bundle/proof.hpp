#pragma once

#include "base/id.hpp"
#include "bundle/error.hpp"

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chivewinch::bundle {

/** Public keys accepted for each owner's signatures, from the settings of the process. */
using TrustedKeys = std::map<base::OwnerId, std::vector<std::string>>;

/** Version and content hash with the signatures of the owners that accepted them. */
struct Proof {
    base::BundleVersion version {};
    base::BundleVersion base {}; ///< Version that the content was derived from; 0 for the first.
    std::string content; ///< Content hash.
    std::map<base::OwnerId, std::string> signatures; ///< Hexadecimal signature of the statement by owner.

    bool operator==(const Proof&) const = default;
};

/**
 * Text that owners sign. It contains the version, so that a signature of an old version is not valid for a newer
 * version with the same content.
 */
[[nodiscard]] std::string statement(const Proof& proof);

/** Whether every trusted owner has signed; otherwise MissingSignature or BadSignature. */
[[nodiscard]] bool verifyProof(const Proof& proof, const TrustedKeys& keys, Error& reason);

// nlohmann-json finds these two by name.
// NOLINTBEGIN(readability-identifier-naming)
void to_json(nlohmann::json& json, const Proof& proof);
void from_json(const nlohmann::json& json, Proof& proof);
// NOLINTEND(readability-identifier-naming)

} // namespace chivewinch::bundle
