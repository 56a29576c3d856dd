#include "quota/stated_limits.hpp"

#include <array>

namespace chivewinch::quota {

namespace internal {

constexpr std::size_t maxInvalidValueSize = 64;

constexpr std::array<std::string_view, static_cast<std::size_t>(LimitChange::Count)> changeNames { "none", "named",
    "changed", "ended" };

LimitChange changeOf(std::optional<double> before, std::optional<double> after) noexcept
{
    if (before == after)
        return LimitChange::None;
    if (!before)
        return LimitChange::Named;
    return after ? LimitChange::Changed : LimitChange::Ended;
}

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
    if (isKnown && sentAt < found->second.sentAt)
        return LimitChange::None;
    const auto previous = isKnown ? found->second.limit : std::nullopt;
    if (!limit && (!previous || sentAt <= found->second.observedAt))
        return LimitChange::None;
    this->statements.insert_or_assign(target, Statement { incarnation, limit, sentAt, now });
    return internal::changeOf(previous, limit);
}

LimitChange StatedLimits::merge(const base::TargetId& target, const Statement& statement)
{
    const auto found = this->statements.find(target);
    const bool isKnown = found != this->statements.end() && found->second.incarnation == statement.incarnation;
    if (isKnown ? statement.sentAt <= found->second.sentAt : !statement.limit.has_value())
        return LimitChange::None;
    const auto previous = isKnown ? found->second.limit : std::nullopt;
    this->statements.insert_or_assign(target, statement);
    return internal::changeOf(previous, statement.limit);
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
