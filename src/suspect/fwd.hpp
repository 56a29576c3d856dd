#pragma once

#include <cstdint>

namespace chivewinch::suspect {

class EntryGuard;
class SharedStrikes;
class StrikeTable;
class TargetGuard;
struct EntryGuardOptions;
struct Placement;
struct SharedStrikesOptions;
struct Strike;
struct StrikeMessage;
struct StrikeOptions;
struct StrikeReport;
struct TargetGuardOptions;
enum class Verdict : std::uint8_t;

} // namespace chivewinch::suspect
