#include "group/group_port.hpp"

#include <array>

namespace chivewinch::group {

namespace internal {

constexpr std::array<std::string_view, 5> replyNames { "none", "refused", "begun", "done", "map_unknown" };

} // namespace internal

std::string_view toString(OrderReply reply) noexcept { return internal::replyNames[static_cast<std::size_t>(reply)]; }

} // namespace chivewinch::group
