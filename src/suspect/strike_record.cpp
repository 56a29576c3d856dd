#include "suspect/strike_record.hpp"

#include "base/hash.hpp"
#include "wire/cbor.hpp"

#include <algorithm>
#include <chrono>
#include <stdexcept>

namespace chivewinch::suspect {

namespace internal {

constexpr std::size_t maxStoredTargetSize = 200;

std::int64_t unixMilliseconds(base::WallTime time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

base::WallTime wallTime(std::uint64_t unixMs)
{
    // About the year 2250, so that sums of times cannot overflow.
    constexpr std::uint64_t latest = 8'836'000'000'000;
    if (unixMs > latest)
        throw std::out_of_range { "the time of the strike is too late" };
    return base::WallTime { std::chrono::milliseconds { static_cast<std::int64_t>(unixMs) } };
}

StrikeRecord parseRecord(const nlohmann::json& value)
{
    const auto kind = wire::parseUnsigned(value.at(0));
    if (kind > static_cast<std::uint64_t>(StrikeKind::Feature))
        throw std::out_of_range { "the kind of the strike is unknown" };
    StrikeRecord record { .kind = static_cast<StrikeKind>(kind),
        .strike = { .fingerprint = wire::parseUnsigned(value.at(1)),
            .target = value.at(2).get<std::string>(),
            .incarnation = base::Incarnation { wire::parseUnsigned(value.at(3)) },
            .crash = wire::parseUnsigned(value.at(4)) },
        .at = wallTime(wire::parseUnsigned(value.at(5))),
        .cleared = value.at(6).get<bool>(),
        .trial = value.at(7).get<bool>() };
    if (record.strike.target.size() > maxStoredTargetSize)
        throw std::out_of_range { "the name of the target is too long" };
    return record;
}

} // namespace internal

std::string recordKey(StrikeKind kind, const Strike& strike)
{
    const auto target = base::combineHash(
        base::hash64(strike.target), base::combineHash(static_cast<std::uint64_t>(strike.incarnation), strike.crash));
    const std::string prefix = kind == StrikeKind::Request ? "request/" : "feature/";
    return prefix + fingerprintText(strike.fingerprint) + "/" + fingerprintText(target);
}

std::string encode(const StrikeRecord& record)
{
    const auto& strike = record.strike;
    return wire::toCbor(nlohmann::json::array({ static_cast<std::uint64_t>(record.kind), strike.fingerprint,
        strike.target, static_cast<std::uint64_t>(strike.incarnation), strike.crash,
        static_cast<std::uint64_t>(std::max<std::int64_t>(internal::unixMilliseconds(record.at), 0)), record.cleared,
        record.trial }));
}

std::optional<StrikeRecord> decodeStrikeRecord(const std::string& value)
{
    return wire::decodeCbor(value, internal::parseRecord);
}

} // namespace chivewinch::suspect
