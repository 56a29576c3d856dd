#pragma once

#include <string>
#include <vector>

namespace chivewinch::ctl {

/** Text table with aligned columns; the first row is the heading. */
[[nodiscard]] std::string renderTable(const std::vector<std::vector<std::string>>& rows);

} // namespace chivewinch::ctl
