#pragma once

#include "bundle/bundle.hpp"
#include "expert/load_estimator.hpp"
#include "expert/map.hpp"

#include <optional>
#include <string>

namespace chivewinch::ctl {

/** A model group of a bundle, with its first expert map. */
struct GroupInput {
    bundle::ModelGroup group;
    expert::ExpertMap map;
};

/** Finds a group and builds its map; nullopt and a reason if the bundle does not give a valid one. */
[[nodiscard]] std::optional<GroupInput> groupOf(
    const bundle::Bundle& content, const std::string& name, std::string& reason);

/**
 * Adds load reports from a file with one JSON object per line: interval, layer, rank, and tokens of each replica of the
 * rank in the order of the map. False and a reason with the line number if one is malformed.
 */
[[nodiscard]] bool readReports(
    const std::string& path, const expert::ExpertMap& map, expert::LoadEstimator& estimator, std::string& reason);

} // namespace chivewinch::ctl
