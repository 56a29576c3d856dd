#include "quota/stated_limits.hpp"

#include <array>

namespace chivewinch::quota {

namespace internal {

constexpr std::size_t maxInvalidValueSize = 64;

constexpr std::array<std::string_view, static_cast<std::size_t>(LimitChange::Count)> changeNames { "none", "named",
    "changed", "ended" };

} // namespace internal

std::string_view toString(LimitChange change) noexcept
{
    return internal::changeNames[static_cast<std::size_t>(change)];
}

LimitChange StatedLimits::observe(const base::TargetId& target, base::Incarnation incarnation,
    std::optional<double> limit, base::SteadyTime sentAt, base::SteadyTime now)
{
    const auto found = this->statements.find(target);
    if (found != this->statements.end() && incarnation < found->second.incarnation)
        return LimitChange::None;
    const bool isKnown = found != this->statements.end() && found->second.incarnation == incarnation;
    const bool hadLimit = isKnown && found->second.limit.has_value();
    if (!limit) {
        if (!hadLimit || sentAt <= found->second.observedAt)
            return LimitChange::None;
        found->second = { .incarnation = incarnation, .observedAt = now };
        return LimitChange::Ended;
    }
    const auto previous = isKnown ? found->second.limit : std::nullopt;
    this->statements.insert_or_assign(target, Statement { incarnation, limit, now });
    if (!hadLimit)
        return LimitChange::Named;
    return previous == limit ? LimitChange::None : LimitChange::Changed;
}

bool StatedLimits::recordInvalid(const base::TargetId& target, std::string_view value)
{
    value = value.substr(0, internal::maxInvalidValueSize);
    const auto [found, isNew] = this->invalidValues.try_emplace(target, value);
    if (!isNew && found->second == value)
        return false;
    found->second = value;
    return true;
}

const Statement* StatedLimits::find(const base::TargetId& target) const
{
    const auto found = this->statements.find(target);
    return found == this->statements.end() ? nullptr : &found->second;
}

void StatedLimits::update(const std::map<base::TargetId, base::Incarnation>& listed, base::SteadyTime now)
{
    std::erase_if(this->statements, [&listed, now](const auto& item) {
        const auto found = listed.find(item.first);
        return found == listed.end() ? now - item.second.observedAt >= retention
                                     : item.second.incarnation < found->second;
    });
    std::erase_if(this->invalidValues, [&listed](const auto& item) { return !listed.contains(item.first); });
}

} // namespace chivewinch::quota
