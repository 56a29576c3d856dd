#pragma once

#include <cstdint>

namespace chivewinch::quota {

class StatedLimits;
class TargetLimits;
class TokenBucket;
struct LimitAnswer;
struct LimitQuery;
struct LimitReport;
struct Member;
struct Statement;
struct TargetLimitsOptions;
enum class LimitChange : std::uint8_t;

} // namespace chivewinch::quota
