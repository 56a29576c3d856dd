#pragma once

namespace chivewinch::logging {

class Event;
struct Options;

} // namespace chivewinch::logging
