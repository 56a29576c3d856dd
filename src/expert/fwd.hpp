#pragma once

#include <cstdint>

namespace chivewinch::expert {

class Decider;
class ExpertMap;
class LoadEstimator;
class Planner;
class RankAgent;
class WeightPacer;
struct Decision;
struct GroupShape;
struct LoadReport;
struct MapRef;
struct OwnerPolicy;
struct StepHeader;
struct StepId;
struct Term;
enum class DecisionReason : std::uint8_t;
enum class ProposalStatus : std::uint8_t;

} // namespace chivewinch::expert
