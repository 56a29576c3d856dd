#pragma once

#include "group/group_port.hpp"
#include "group/rank_query.hpp"

#include <optional>
#include <string>

namespace chivewinch::group {

/** Messages between the agents of a group; nullopt for anything that is not such a message. */

/** As CBOR: links of 8 Mbit/s carry the map and the loads of a group of 72 ranks many times a second. */
[[nodiscard]] std::string encode(const RankQuery& query);
[[nodiscard]] std::optional<RankQuery> decodeQuery(const std::string& body);
[[nodiscard]] std::string encode(const RankAnswers& answers);
[[nodiscard]] std::optional<RankAnswers> decodeAnswers(const std::string& body);

/** As JSON. */
[[nodiscard]] std::string encode(const RankExperts& experts);
[[nodiscard]] std::optional<RankExperts> decodeExperts(const std::string& body);

} // namespace chivewinch::group
