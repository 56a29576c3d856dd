#pragma once

#include <cstdint>

namespace chivewinch::gateway {

class CrashGuard;
class Dispatcher;
class EventSequence;
class Gateway;
class RequestRun;
class Snapshot;
struct Configuration;
struct GatewayOptions;
struct HeaderNames;
struct Route;
enum class AnswerKind : std::uint8_t;
enum class RouteKind : std::uint8_t;

} // namespace chivewinch::gateway
