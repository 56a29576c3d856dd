#pragma once

#include "group/group_port.hpp"
#include "group/rank_query.hpp"

#include <optional>
#include <string>

namespace chivewinch::group {

/** Messages between the agents of a group. Decoders return nullopt if the body is not a valid message. */

/**
 * Encoded as CBOR: the map and the loads of a group of 72 ranks are sent many times a second over links of 8 Mbit/s.
 */
[[nodiscard]] std::string encode(const RankQuery& query);
[[nodiscard]] std::optional<RankQuery> decodeQuery(const std::string& body);
[[nodiscard]] std::string encode(const RankAnswers& answers);
[[nodiscard]] std::optional<RankAnswers> decodeAnswers(const std::string& body);

/** Encoded as JSON. */
[[nodiscard]] std::string encode(const RankExperts& experts);
[[nodiscard]] std::optional<RankExperts> decodeExperts(const std::string& body);

} // namespace chivewinch::group
