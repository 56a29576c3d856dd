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

    /** Bytes from the peer. The receive window shrinks until Session::consume is called for them. */
    virtual void onData(std::string_view bytes) = 0;
    /** The peer sends nothing more on this stream. */
    virtual void onEnd() = 0;
    /** Bytes queued for the peer fell below the low-water mark. */
    virtual void onWritable() { }
    /** Last event of a stream; code None after an orderly end on both sides. */
    virtual void onClose(const Error& error) = 0;
};

} // namespace chivewinch::transport
