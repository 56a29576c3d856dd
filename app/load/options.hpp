#pragma once

#include "settings/definition.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace chivewinch::load {

/** Settings of one load run. */
struct LoadOptions {
    std::vector<settings::Endpoint> entries;
    double rate = 0; ///< Requests per second, summed over all workers.
    std::chrono::milliseconds duration {};
    std::size_t workers = 1;
    std::string model;
    std::string modelKey; ///< Team key for model requests.
    std::string service; ///< Order service; if empty, no orders are sent.
    std::string serviceKey;
    std::vector<settings::Endpoint>
        journals; ///< Order services whose journals are compared with the sent orders at the end.
    double orderShare = 0;
    double streamShare = 1;
    double duplicateShare = 0; ///< Share of the orders that are sent to two entries concurrently.
    std::uint64_t minTokens = 1;
    std::uint64_t maxTokens = 1;
    std::size_t prefixes = 1; ///< Number of distinct prompt prefixes.
    double prefixSkew = 1; ///< Zipf exponent of the popularity of prefixes.
    std::chrono::milliseconds deadline {};
    std::uint32_t maxTries = 1;
    std::uint64_t seed = 0;
    bool jsonOutput = false;
};

[[nodiscard]] settings::Definition loadDefinition();
[[nodiscard]] LoadOptions loadOptions(const settings::Values& values);

} // namespace chivewinch::load
