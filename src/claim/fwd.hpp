#pragma once

#include <cstdint>

namespace chivewinch::claim {

class AnswerStore;
class ClaimManager;
class GroupCommit;
struct ClaimCounters;
struct ClaimKey;
struct ClaimOptions;
struct ClaimRequest;
struct ClaimRow;
struct CommitCounters;
struct CommitOptions;
struct Conflict;
struct Granted;
struct InProgress;
struct Repeat;
struct RowWrite;
struct Settlement;
struct StoredAnswer;
struct Unavailable;
struct WriteResult;
enum class ClaimState : std::uint8_t;
enum class WriteStatus : std::uint8_t;

} // namespace chivewinch::claim
