#pragma once

#include <cstdint>

namespace chivewinch::routing {

class AdmissionQueue;
class RetryBudget;
class Router;
struct Choice;
struct LoadReport;
struct PoolSpec;
struct QueuedRequest;
struct RouteRequest;
enum class ChoiceKind : std::uint8_t;
enum class Result : std::uint8_t;

} // namespace chivewinch::routing
