#pragma once

#include "base/clock.hpp"
#include "suspect/strike.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace chivewinch::suspect {

/** What the fingerprint of a strike identifies. */
enum class StrikeKind : std::uint8_t {
    Request, ///< A whole request, with the bound of SharedStrikes.
    Feature, ///< A feature of requests, with the rules of SuspectFeatures.
};

/** A strike as it is kept in a table of a store. */
struct StrikeRecord {
    StrikeKind kind = StrikeKind::Request;
    Strike strike;
    base::WallTime at; ///< Time of the crash, in milliseconds.
    bool cleared = false;
    bool trial = false;

    bool operator==(const StrikeRecord&) const = default;
};

/** Key of the row of this strike, the same in all processes. */
[[nodiscard]] std::string recordKey(StrikeKind kind, const Strike& strike);

[[nodiscard]] std::string encode(const StrikeRecord& record);
/** Returns nullopt if the value is not a valid record. */
[[nodiscard]] std::optional<StrikeRecord> decodeStrikeRecord(const std::string& value);

} // namespace chivewinch::suspect
