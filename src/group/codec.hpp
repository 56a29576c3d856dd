#pragma once

#include "group/group_port.hpp"
#include "group/rank_query.hpp"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

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
/** Experts of each layer. Throws std::out_of_range unless the value is an array of arrays of 16-bit numbers. */
[[nodiscard]] std::vector<std::vector<std::uint16_t>> parseLayers(const nlohmann::json& value);

} // namespace chivewinch::group
