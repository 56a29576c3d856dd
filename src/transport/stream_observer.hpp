#pragma once

#include "transport/error.hpp"

#include <string_view>

namespace chivewinch::transport {

/** Receives the events of one stream, on the executor of its session. */
class StreamObserver {
public:
    StreamObserver() = default;
    StreamObserver(const StreamObserver&) = delete;
    StreamObserver& operator=(const StreamObserver&) = delete;
    virtual ~StreamObserver() = default;

    /** Called for bytes from the peer. They use up the receive window until Session::consume is called for them. */
    virtual void onData(std::string_view bytes) = 0;
    /** Called when the peer has ended its sending side of the stream. */
    virtual void onEnd() = 0;
    /** Called when the number of bytes queued for the peer has fallen below the low-water mark. */
    virtual void onWritable() { }
    /** Last event of a stream. The error code is None if both sides ended the stream normally. */
    virtual void onClose(const Error& error) = 0;
};

} // namespace chivewinch::transport
