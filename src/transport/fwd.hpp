#pragma once

namespace chivewinch::transport {

class Session;
class StreamObserver;
struct Error;
struct SessionOptions;

} // namespace chivewinch::transport
