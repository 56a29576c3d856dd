#pragma once

#include <cstdint>

namespace chivewinch::quota {

class StatedLimits;
struct Statement;
enum class LimitChange : std::uint8_t;

} // namespace chivewinch::quota
