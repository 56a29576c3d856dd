#pragma once

#include "base/id.hpp"
#include "settings/definition.hpp"

#include <chrono>
#include <cstdint>
#include <string>

namespace chivewinch::agent {

enum class TargetKind : std::uint8_t {
    Engine,
    Service,
};

/** Settings of one agent. */
struct AgentOptions {
    std::string instance;
    base::ZoneId zone;
    base::TargetId target;
    TargetKind kind = TargetKind::Engine;
    settings::Endpoint listen;
    settings::Endpoint httpListen;
    settings::Endpoint targetEndpoint;
    settings::Endpoint objectStore;
    std::uint32_t capacity = 8;
    std::uint32_t queue = 8; ///< Attempts accepted above the capacity.
    std::chrono::milliseconds drainTimeout {};
    std::chrono::milliseconds heartbeatInterval {};
    std::chrono::milliseconds probeInterval {};
    std::chrono::milliseconds usageInterval {};
    std::string usageKey; ///< Hexadecimal Ed25519 seed; empty to generate a new key.
};

[[nodiscard]] settings::Definition agentDefinition();
[[nodiscard]] AgentOptions agentOptions(const settings::Values& values);

} // namespace chivewinch::agent
