#pragma once

namespace chivewinch::protocol {

class ControlStream;
class MessageReader;

} // namespace chivewinch::protocol
