#pragma once

#include "base/hash.hpp"
#include "http/sse.hpp"
#include "wire/wire.pb.h"

#include <optional>
#include <string>
#include <string_view>

namespace chivewinch::agent {

/** Splits the body of a target's answer into frame payloads and counts frames, bytes and tokens. */
class AnswerRelay {
public:
    struct Options {
        bool isEventStream = false;
        bool showUsage = false; ///< Forwards the usage event, because the caller requested it.
    };

    /** Payload and token count of one frame. No frame is sent for an empty payload. */
    struct Chunk {
        std::string payload;
        std::uint32_t tokens = 0;
    };

    explicit AnswerRelay(Options options) noexcept
        : options { options }
    {
    }

    /** Appends bytes of the body and returns the payload that can be sent. An event stream is sent in whole events. */
    [[nodiscard]] Chunk append(std::string_view bytes);

    /** Marks the end of the body. Returns false if the body is incomplete. */
    [[nodiscard]] bool finish();

    void recordFrame(const Chunk& chunk);

    [[nodiscard]] std::uint64_t frames() const noexcept { return this->frameCount; }
    [[nodiscard]] std::uint64_t bytes() const noexcept { return this->byteCount; }
    [[nodiscard]] std::uint64_t digest() const noexcept { return this->hash.digest(); }
    /** Usage reported by the target, or the number of tokens counted so far if the target has reported none. */
    [[nodiscard]] wire::UsageCount usage() const;

private:
    Options options;
    http::EventSplitter splitter;
    base::StreamHash hash;
    std::string body;
    std::optional<wire::UsageCount> reportedUsage;
    std::uint64_t frameCount = 0;
    std::uint64_t byteCount = 0;
    std::uint64_t tokenCount = 0;
    bool ended = false;

    void appendEvent(Chunk& chunk, const std::string& event);
    void readUsage(std::string_view json);
};

} // namespace chivewinch::agent
