#pragma once

namespace chivewinch::protocol {

class MessageReader;

} // namespace chivewinch::protocol
