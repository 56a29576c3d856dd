#pragma once

#include "usage/key.hpp"
#include "usage/record.hpp"

#include <compare>
#include <cstdint>

namespace chivewinch::usage {

/** Newest segment of a chain; its link fixes every segment before it. */
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
