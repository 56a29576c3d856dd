#pragma once

#include <cstdint>

namespace chivewinch::base {

class Clock;
class ManualClock;
class RandomSource;
class SeededRandom;
class SystemClock;
struct AttemptId;
struct RequestId;
enum class BundleVersion : std::uint64_t;
enum class FencingNumber : std::uint64_t;
enum class Incarnation : std::uint64_t;
enum class Outcome : std::uint8_t;
enum class RefusalReason : std::uint8_t;
enum class RetryReason : std::uint8_t;

} // namespace chivewinch::base
