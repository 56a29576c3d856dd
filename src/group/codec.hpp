#pragma once

#include "group/group_port.hpp"

#include <optional>
#include <string>

namespace chivewinch::group {

/** Messages between the agents of a group, as JSON; nullopt for anything that is not such a message. */
[[nodiscard]] std::string encode(const ExpertCounts& counts);
[[nodiscard]] std::optional<ExpertCounts> decodeCounts(const std::string& body);
[[nodiscard]] std::string encode(const RankExperts& experts);
[[nodiscard]] std::optional<RankExperts> decodeExperts(const std::string& body);

} // namespace chivewinch::group
