#pragma once

#include "base/id.hpp"
#include "settings/definition.hpp"

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace chivewinch::entry {

/** Settings of one entry. */
struct EntryOptions {
    std::string instance;
    base::ZoneId zone;
    settings::Endpoint listen;
    settings::Endpoint peerListen;
    settings::Endpoint tableService;
    settings::Endpoint objectStore;
    std::vector<settings::Endpoint> peers;
    std::string ownerKeys; ///< owner=key,owner=key
    std::size_t workers = 2;
    std::size_t maxConnections = 20'000;
    std::uint64_t maxBodyBytes = 8U << 20;
    std::chrono::milliseconds defaultDeadline {};
    std::chrono::milliseconds maxDeadline {};
    std::chrono::milliseconds attemptTimeout {}; ///< Longest time without a message from the target of an attempt.
    std::chrono::milliseconds drainTimeout {};
    std::chrono::milliseconds heartbeatInterval {};
    std::chrono::milliseconds usageInterval {};
    std::string usageKey; ///< Hexadecimal seed; empty for a new key.
};

[[nodiscard]] settings::Definition entryDefinition();
[[nodiscard]] EntryOptions entryOptions(const settings::Values& values);

} // namespace chivewinch::entry
