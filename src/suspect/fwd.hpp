#pragma once

#include <cstdint>

namespace chivewinch::suspect {

class EntryGuard;
class CrashOverlap;
class RunMemory;
class SharedStrikes;
class StrikeTable;
class SuspectFeatures;
class TargetGuard;
struct EntryGuardOptions;
struct Feature;
struct Placement;
struct SharedStrikesOptions;
struct Strike;
struct StrikeMessage;
struct StrikeOptions;
struct StrikeReport;
struct SuspectFeaturesOptions;
struct TargetGuardOptions;
enum class Verdict : std::uint8_t;

} // namespace chivewinch::suspect
