#pragma once

#include <cstdint>

namespace chivewinch::membership {

class TargetTable;
struct Event;
struct Options;
struct TargetView;
enum class ApplyResult : std::uint8_t;
enum class EventKind : std::uint8_t;
enum class TargetState : std::uint8_t;

} // namespace chivewinch::membership
