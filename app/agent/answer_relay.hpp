#pragma once

#include "base/hash.hpp"
#include "http/sse.hpp"
#include "wire/wire.pb.h"

#include <optional>
#include <string>
#include <string_view>

namespace chivewinch::agent {

/** Turns the body of a target's answer into frames and counts what it used. */
class AnswerRelay {
public:
    struct Options {
        bool isEventStream = false;
        bool showUsage = false; ///< The caller asked for the usage event.
    };

    /** Payload and token count of a frame; an empty payload makes no frame. */
    struct Piece {
        std::string payload;
        std::uint32_t tokens = 0;
    };

    explicit AnswerRelay(Options options) noexcept
        : options { options }
    {
    }

    /** Takes bytes of the body and returns what can be sent. */
    [[nodiscard]] Piece append(std::string_view bytes);

    /** Ends the body; false if it is not whole. */
    [[nodiscard]] bool finish();

    void noteFrame(const Piece& piece);

    [[nodiscard]] std::uint64_t frames() const noexcept { return this->frameCount; }
    [[nodiscard]] std::uint64_t bytes() const noexcept { return this->byteCount; }
    [[nodiscard]] std::uint64_t digest() const noexcept { return this->hash.digest(); }
    /** Tokens counted so far, also when no usage was reported. */
    [[nodiscard]] wire::UsageCount usage() const;

private:
    Options options;
    http::EventSplitter splitter;
    base::StreamHash hash;
    std::string body;
    std::optional<wire::UsageCount> reported;
    std::uint64_t frameCount = 0;
    std::uint64_t byteCount = 0;
    std::uint64_t tokenCount = 0;
    bool ended = false;

    void appendEvent(Piece& piece, const std::string& event);
    void readUsage(std::string_view json);
};

} // namespace chivewinch::agent
