#pragma once

#include <cstdint>

namespace chivewinch::membership {

class TargetTable;
class ZoneEvacuations;
struct Event;
struct Options;
struct TargetView;
struct ZoneChange;
enum class ApplyResult : std::uint8_t;
enum class EventKind : std::uint8_t;
enum class TargetState : std::uint8_t;

} // namespace chivewinch::membership
