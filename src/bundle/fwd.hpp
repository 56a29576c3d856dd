#pragma once

#include <cstdint>

namespace chivewinch::bundle {

class Distributor;
class Operations;
class Replica;
class Snapshot;
class VersionGuard;
struct Bundle;
struct ConfigError;
struct CostAttribution;
struct Delta;
struct Error;
struct ExpertLayer;
struct Model;
struct ModelGroup;
struct Owner;
struct Proof;
struct Service;
struct Target;
struct Team;
struct Zone;
enum class CostRule : std::uint8_t;
enum class ErrorCode : std::uint8_t;
enum class TargetKind : std::uint8_t;

} // namespace chivewinch::bundle
