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

/** An Idempotency-Key and the team that sent it. */
struct ClaimKey {
    base::TeamId team;
    std::string key;

    auto operator<=>(const ClaimKey&) const = default;
};

/** Asks for permission to run a non-repeatable request that has an Idempotency-Key. */
struct ClaimRequest {
    ClaimKey key;
    std::string bodyHash; ///< contentHash of all parts of the request that must be equal in a repeat.
    base::SteadyTime deadline;

    bool operator==(const ClaimRequest&) const = default;
};

/** Outcome of a granted claim. NotRun allows the key to be claimed again and therefore requires proof. */
struct Settlement {
    base::Outcome outcome = base::Outcome::Unknown;
    std::string answer; ///< Opaque bytes that are returned to repeats; only for Done.

    bool operator==(const Settlement&) const = default;
};

/** The caller must dispatch the request and then settle the claim with this nonce. */
struct Granted {
    std::uint64_t nonce = 0;

    bool operator==(const Granted&) const = default;
};

/** An earlier request with this key is settled. The outcome is Done or Unknown. */
struct Repeat {
    base::Outcome outcome = base::Outcome::Unknown;
    std::optional<std::string> answer; ///< nullopt if the answer to the first request was not stored or is lost.

    bool operator==(const Repeat&) const = default;
};

/** The first request with this key had no known outcome at the deadline of this one: outcome unknown. */
struct InProgress {
    bool operator==(const InProgress&) const = default;
};

/** The key was already used with a different body. */
struct Conflict {
    bool operator==(const Conflict&) const = default;
};

/** No claim was made. This request did not run and will not run. */
struct Unavailable {
    bool operator==(const Unavailable&) const = default;
};

using ClaimResult = std::variant<Granted, Repeat, InProgress, Conflict, Unavailable>;
using ClaimCallback = std::function<void(const ClaimResult&)>;
/** Receives true once the table service has stored the settlement, false if the nonce has no unsettled claim. */
using SettleCallback = std::function<void(bool)>;

} // namespace chivewinch::claim
