#include "base/random.hpp"

namespace chivewinch::base {

std::uint64_t entropySeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32) | device();
}

} // namespace chivewinch::base
