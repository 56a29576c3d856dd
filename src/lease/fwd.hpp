#pragma once

#include <cstdint>

namespace chivewinch::lease {

class FencingGuard;
class Lease;
struct LeaseOptions;
struct LeaseRecord;
enum class LeaseEvent : std::uint8_t;

} // namespace chivewinch::lease
