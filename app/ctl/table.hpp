#pragma once

#include <string>
#include <vector>

namespace chivewinch::ctl {

/** Renders a text table with aligned columns. The first row is the header. */
[[nodiscard]] std::string renderTable(const std::vector<std::vector<std::string>>& rows);

} // namespace chivewinch::ctl
