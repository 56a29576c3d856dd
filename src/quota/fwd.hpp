#pragma once

#include <cstdint>

namespace chivewinch::quota {

class ColdTargets;
class ShareOwners;
class StatedLimits;
class TargetLimits;
class TokenBucket;
struct ColdChange;
struct ColdRate;
struct LimitAnswer;
struct LimitQuery;
struct LimitReport;
struct LimitedTarget;
struct Member;
struct Opening;
struct Statement;
struct TargetLimitsOptions;
enum class LimitChange : std::uint8_t;

} // namespace chivewinch::quota
