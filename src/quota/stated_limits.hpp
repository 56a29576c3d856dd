#pragma once

#include "base/clock.hpp"
#include "base/id.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace chivewinch::quota {

/** Newest statement of a target about its request limit. */
struct Statement {
    base::Incarnation incarnation {};
    std::optional<double> limit; ///< Requests per second from all processes together; nullopt after the limit ended.
    /**
     * Time at which the request was sent whose answer contained the statement. It orders the statements of all
     * processes: the time at which a process reads an answer can be much later than the answer, after a freeze.
     */
    base::SteadyTime sentAt {};
    base::SteadyTime observedAt {}; ///< Time at which the answer was read.

    auto operator<=>(const Statement&) const = default;
};

enum class LimitChange : std::uint8_t {
    None,
    Named, ///< The target has a limit and had none before.
    Changed,
    Ended,
    Count
};

[[nodiscard]] std::string_view toString(LimitChange change) noexcept;

/**
 * Request limits that targets state in their answers. A limit holds until an answer without a limit, or until a new
 * incarnation of the target. Not thread-safe.
 */
class StatedLimits {
public:
    /** Time for which the statement of an unlisted target is kept, in case the target is listed again. */
    static constexpr std::chrono::minutes retention { 2 };

    /**
     * Applies the answer of a target.
     * @param limit The limit that the answer contains, if any.
     * @param sentAt Time at which the request was sent. An answer to an older request than that of the known statement
     * is ignored. An answer without a limit ends a limit only if its request was sent after the limit was read:
     * answers on several connections can overtake each other.
     */
    LimitChange observe(const base::TargetId& target, base::Incarnation incarnation, std::optional<double> limit,
        base::SteadyTime sentAt, base::SteadyTime now);

    /** Applies a statement that another process observed, unless a newer one is known. */
    LimitChange merge(const base::TargetId& target, const Statement& statement);

    /** Records a value that is not a limit; returns false if it is the last one recorded for this target. */
    bool recordInvalid(const base::TargetId& target, std::string_view value);

    /** nullptr if the target has never stated a limit. */
    [[nodiscard]] const Statement* find(const base::TargetId& target) const;

    /** Removes the statements of ended incarnations, and those of targets that have been unlisted for too long. */
    void update(const std::map<base::TargetId, base::Incarnation>& listed, base::SteadyTime now);

private:
    std::map<base::TargetId, Statement> statements;
    std::map<base::TargetId, std::string> invalidValues; ///< Last invalid value, by target.
};

} // namespace chivewinch::quota
