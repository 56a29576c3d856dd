#pragma once

namespace chivewinch::metrics {

class Registry;

} // namespace chivewinch::metrics
