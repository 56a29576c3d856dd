#pragma once

#include <cstdint>

namespace chivewinch::delivery {

class AnswerChecker;
class AttemptRecord;
class DeliveryPlan;
class Gate;
struct Admission;
struct AnswerFrame;
struct AnswerHead;
struct AttemptEvent;
struct AttemptKey;
struct AttemptStart;
struct CheckerOptions;
struct CancelRequest;
struct FinalFrame;
struct Finish;
struct GateLoad;
struct GateOptions;
struct PlanOptions;
struct Progress;
struct Resume;
struct Retry;
enum class AnswerStart : std::uint8_t;
enum class CancelResult : std::uint8_t;
enum class EventKind : std::uint8_t;
enum class FrameVerdict : std::uint8_t;
enum class RecordState : std::uint8_t;

} // namespace chivewinch::delivery
