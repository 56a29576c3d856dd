#pragma once

#include <cstdint>

namespace chivewinch::usage {

class Compactor;
class KeyList;
class Ledger;
class SigningKey;
class Verifier;
enum class FindingKind : std::uint8_t;
enum class RecordKind : std::uint8_t;
enum class Result : std::uint8_t;
enum class Side : std::uint8_t;
struct ChainHead;
struct Counts;
struct Error;
struct Finding;
struct LedgerOptions;
struct LedgerStatus;
struct ProcessId;
struct Report;
struct Segment;
struct SegmentHeader;
struct Summary;
struct Totals;
struct VerifierOptions;

} // namespace chivewinch::usage
