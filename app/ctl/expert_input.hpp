#pragma once

#include "bundle/bundle.hpp"
#include "expert/load_estimator.hpp"
#include "expert/map.hpp"

#include <optional>
#include <string>

namespace chivewinch::ctl {

/** Model group of a bundle and the expert map that the bundle configures for the group. */
struct GroupInput {
    bundle::ModelGroup group;
    expert::ExpertMap map;
};

/** Finds a group and builds its expert map. Returns nullopt and a reason if the group is unknown or its map invalid. */
[[nodiscard]] std::optional<GroupInput> buildGroupInput(
    const bundle::Bundle& content, const std::string& name, std::string& reason);

/**
 * Reads load reports from a file and adds them to the estimator. Each line is a JSON object with interval, layer, rank
 * and the tokens of each replica of the rank, in the order of the map. Returns false and a reason if the file is
 * unreadable or a report is malformed; the reason then contains the line number.
 */
[[nodiscard]] bool readReports(
    const std::string& path, const expert::ExpertMap& map, expert::LoadEstimator& estimator, std::string& reason);

} // namespace chivewinch::ctl
