#pragma once

#include "transport/session.hpp"

#include <nghttp2/nghttp2.h>

namespace chivewinch::transport {

/** Callbacks that connect a Session to nghttp2. */
struct Session::Callbacks {
    /** Returns nullptr if nghttp2 cannot allocate memory. */
    [[nodiscard]] static nghttp2_session* makeSession(Session& session, bool isServer);
    [[nodiscard]] static nghttp2_data_provider dataProvider();

private:
    static ssize_t readQueue(nghttp2_session* http2, std::int32_t stream, std::uint8_t* buffer, std::size_t length,
        std::uint32_t* flags, nghttp2_data_source* source, void* user);
    static int onBeginHeaders(nghttp2_session* http2, const nghttp2_frame* frame, void* user);
    static int onHeader(nghttp2_session* http2, const nghttp2_frame* frame, const std::uint8_t* name,
        std::size_t nameLength, const std::uint8_t* value, std::size_t valueLength, std::uint8_t flags, void* user);
    static int onFrame(nghttp2_session* http2, const nghttp2_frame* frame, void* user);
    static int onData(nghttp2_session* http2, std::uint8_t flags, std::int32_t stream, const std::uint8_t* data,
        std::size_t length, void* user);
    static int onStreamClose(nghttp2_session* http2, std::int32_t stream, std::uint32_t code, void* user);
    static void accept(Session& session, StreamId stream);
};

} // namespace chivewinch::transport
