#pragma once

#include "base/clock.hpp"
#include "base/id.hpp"
#include "base/reason.hpp"

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>

namespace chivewinch::claim {

/** A team's Idempotency-Key. */
struct ClaimKey {
    base::TeamId team;
    std::string key;

    auto operator<=>(const ClaimKey&) const = default;
};

/** A keyed non-repeatable request that asks to be run. */
struct ClaimRequest {
    ClaimKey key;
    std::string bodyHash; ///< contentHash of everything that must be equal in a repeat.
    base::SteadyTime deadline;

    bool operator==(const ClaimRequest&) const = default;
};

/** What became of a granted claim. NotRun requires a proof; it lets the key be claimed again. */
struct Settlement {
    base::Outcome outcome = base::Outcome::Unknown;
    std::string answer; ///< Opaque bytes, returned to repeats; for Done only.

    bool operator==(const Settlement&) const = default;
};

/** The request has to be dispatched and then settled with this nonce. */
struct Granted {
    std::uint64_t nonce = 0;

    bool operator==(const Granted&) const = default;
};

/** The request ran before; Done or Unknown. */
struct Repeat {
    base::Outcome outcome = base::Outcome::Unknown;
    std::optional<std::string> answer; ///< nullopt when the first answer was not retained.

    bool operator==(const Repeat&) const = default;
};

/** The first request with this key had no known outcome at the deadline: outcome unknown. */
struct InProgress {
    bool operator==(const InProgress&) const = default;
};

/** The key was used with another body. */
struct Conflict {
    bool operator==(const Conflict&) const = default;
};

/** No claim was made: this request did not run and will not. */
struct Unavailable {
    bool operator==(const Unavailable&) const = default;
};

using ClaimResult = std::variant<Granted, Repeat, InProgress, Conflict, Unavailable>;
using ClaimCallback = std::function<void(const ClaimResult&)>;
/** True when the settlement is in the table service; false when the nonce holds no unsettled claim. */
using SettleCallback = std::function<void(bool)>;

} // namespace chivewinch::claim
