#pragma once

#include <cstdint>

namespace chivewinch::suspect {

class EntryGuard;
class StrikeTable;
class TargetGuard;
struct EntryGuardOptions;
struct Placement;
struct Strike;
struct StrikeOptions;
struct StrikeReport;
struct TargetGuardOptions;
enum class Verdict : std::uint8_t;

} // namespace chivewinch::suspect
