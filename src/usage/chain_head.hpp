#pragma once

#include "usage/key.hpp"
#include "usage/record.hpp"

#include <compare>
#include <cstdint>

namespace chivewinch::usage {

/** Newest segment of a chain. Its link is a hash that covers this segment and all earlier segments of the chain. */
struct ChainHead {
    ProcessId process;
    Side side = Side::Entry;
    std::uint64_t number = 0;
    Digest link {};
    WallMillis coversUntil;
    bool closes = false;

    auto operator<=>(const ChainHead&) const = default;
};

} // namespace chivewinch::usage
