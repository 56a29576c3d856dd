#include "transport/internal/http2_callbacks.hpp"

#include "transport/internal/stream.hpp"

#include <algorithm>
#include <cstring>
#include <memory>
#include <string>

namespace chivewinch::transport {

namespace internal {

Session& sessionOf(void* user) { return *static_cast<Session*>(user); }

bool isRequestHeaders(const nghttp2_frame* frame)
{
    return frame->hd.type == NGHTTP2_HEADERS && frame->headers.cat == NGHTTP2_HCAT_REQUEST;
}

} // namespace internal

nghttp2_session* Session::Callbacks::makeSession(Session& session, bool isServer)
{
    nghttp2_session_callbacks* raw = nullptr;
    nghttp2_session_callbacks_new(&raw);
    const std::unique_ptr<nghttp2_session_callbacks, decltype(&nghttp2_session_callbacks_del)> callbacks { raw,
        &nghttp2_session_callbacks_del };
    nghttp2_session_callbacks_set_on_begin_headers_callback(raw, &Callbacks::onBeginHeaders);
    nghttp2_session_callbacks_set_on_header_callback(raw, &Callbacks::onHeader);
    nghttp2_session_callbacks_set_on_frame_recv_callback(raw, &Callbacks::onFrame);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(raw, &Callbacks::onData);
    nghttp2_session_callbacks_set_on_stream_close_callback(raw, &Callbacks::onStreamClose);

    nghttp2_option* rawOptions = nullptr;
    nghttp2_option_new(&rawOptions);
    const std::unique_ptr<nghttp2_option, decltype(&nghttp2_option_del)> http2Options { rawOptions,
        &nghttp2_option_del };
    nghttp2_option_set_no_auto_window_update(rawOptions, 1);

    nghttp2_session* http2 = nullptr;
    if (isServer)
        nghttp2_session_server_new2(&http2, raw, &session, rawOptions);
    else
        nghttp2_session_client_new2(&http2, raw, &session, rawOptions);
    return http2;
}

nghttp2_data_provider Session::Callbacks::dataProvider()
{
    nghttp2_data_provider provider {};
    provider.read_callback = &Callbacks::readQueue;
    return provider;
}

ssize_t Session::Callbacks::readQueue(nghttp2_session*, std::int32_t stream, std::uint8_t* buffer, std::size_t length,
    std::uint32_t* flags, nghttp2_data_source*, void* user)
{
    auto* found = internal::sessionOf(user).find(stream);
    if (found == nullptr)
        return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    const auto count = std::min(length, found->pending());
    if (count == 0 && !found->finished)
        return NGHTTP2_ERR_DEFERRED;
    if (count > 0) {
        found->sentAny = true;
        std::memcpy(buffer, found->queue.data() + found->offset, count);
        found->wasAboveLowWater
            = found->wasAboveLowWater || found->pending() >= internal::sessionOf(user).options.lowWaterBytes;
        found->offset += count;
    }
    if (found->pending() == 0) {
        found->queue.clear();
        found->offset = 0;
        if (found->finished)
            *flags |= NGHTTP2_DATA_FLAG_EOF;
    }
    return static_cast<ssize_t>(count);
}

int Session::Callbacks::onBeginHeaders(nghttp2_session*, const nghttp2_frame* frame, void* user)
{
    if (internal::isRequestHeaders(frame))
        internal::sessionOf(user).streams.emplace(frame->hd.stream_id, std::make_unique<Stream>(nullptr));
    return 0;
}

int Session::Callbacks::onHeader(nghttp2_session*, const nghttp2_frame* frame, const std::uint8_t* name,
    std::size_t nameLength, const std::uint8_t* value, std::size_t valueLength, std::uint8_t, void* user)
{
    const std::string_view nameText { reinterpret_cast<const char*>(name), nameLength };
    if (!internal::isRequestHeaders(frame) || nameText != ":path")
        return 0;
    if (auto* found = internal::sessionOf(user).find(frame->hd.stream_id))
        found->path.assign(reinterpret_cast<const char*>(value), valueLength);
    return 0;
}

void Session::Callbacks::accept(Session& session, StreamId stream)
{
    auto* found = session.find(stream);
    if (found == nullptr)
        return;
    auto observer = session.acceptHandler ? session.acceptHandler(session.shared_from_this(), stream, found->path)
                                          : std::shared_ptr<StreamObserver> {};
    if (!observer) {
        nghttp2_submit_rst_stream(session.http2, NGHTTP2_FLAG_NONE, stream, NGHTTP2_REFUSED_STREAM);
        return;
    }
    found->observer = std::move(observer);
    std::string name = ":status";
    std::string value = "200";
    const nghttp2_nv headers[] = { { reinterpret_cast<std::uint8_t*>(name.data()),
        reinterpret_cast<std::uint8_t*>(value.data()), name.size(), value.size(), NGHTTP2_NV_FLAG_NONE } };
    const auto provider = Callbacks::dataProvider();
    nghttp2_submit_response(session.http2, stream, headers, std::size(headers), &provider);
}

int Session::Callbacks::onFrame(nghttp2_session*, const nghttp2_frame* frame, void* user)
{
    auto& session = internal::sessionOf(user);
    if (internal::isRequestHeaders(frame))
        accept(session, frame->hd.stream_id);
    const bool mayEndStream = frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS;
    if (!mayEndStream || (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) == 0)
        return 0;
    auto* found = session.find(frame->hd.stream_id);
    if (found != nullptr && found->observer) {
        // The observer may close the stream, so this copy keeps the observer alive during the call.
        const auto observer = found->observer;
        observer->onEnd();
    }
    return 0;
}

int Session::Callbacks::onData(
    nghttp2_session* http2, std::uint8_t, std::int32_t stream, const std::uint8_t* data, std::size_t length, void* user)
{
    auto& session = internal::sessionOf(user);
    nghttp2_session_consume_connection(http2, length);
    auto* found = session.find(stream);
    if (found == nullptr || !found->observer)
        return 0;
    const auto observer = found->observer;
    observer->onData({ reinterpret_cast<const char*>(data), length });
    return 0;
}

int Session::Callbacks::onStreamClose(nghttp2_session*, std::int32_t stream, std::uint32_t code, void* user)
{
    Error error;
    if (code != NGHTTP2_NO_ERROR)
        error = { .code = ErrorCode::StreamReset, .detail = nghttp2_http2_strerror(code) };
    internal::sessionOf(user).closeStream(stream, error);
    return 0;
}

} // namespace chivewinch::transport
