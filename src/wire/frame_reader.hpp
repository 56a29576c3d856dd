#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chivewinch::wire {

/** Size of the big-endian length prefix of each message, in bytes. */
inline constexpr std::size_t lengthPrefixBytes = 4;

/** Largest message accepted from a peer, in bytes. */
inline constexpr std::size_t maxMessageBytes = 16U << 20;

/** Appends the message with its length prefix to the output. */
void appendFrame(std::string& out, std::string_view message);

/** Serializes a protobuf message and adds the length prefix. */
template <typename Message> [[nodiscard]] std::string frame(const Message& message)
{
    std::string bytes;
    message.SerializeToString(&bytes);
    std::string out;
    out.reserve(bytes.size() + lengthPrefixBytes);
    appendFrame(out, bytes);
    return out;
}

/** Splits a byte stream into length-prefixed messages. */
class FrameReader {
public:
    explicit FrameReader(std::size_t maxBytes = maxMessageBytes) noexcept
        : maxBytes { maxBytes }
    {
    }

    void append(std::string_view bytes);

    /** Returns the next complete message; nullopt if more bytes are needed or the stream is malformed. */
    [[nodiscard]] std::optional<std::string> next();

    /** True after a length prefix above the limit; no further message can be read. */
    [[nodiscard]] bool malformed() const noexcept { return this->isMalformed; }

    /** Number of buffered bytes that next() has not returned yet, including length prefixes. */
    [[nodiscard]] std::size_t pendingBytes() const noexcept { return this->buffer.size() - this->offset; }

private:
    std::size_t maxBytes;
    std::string buffer;
    std::size_t offset = 0;
    bool isMalformed = false;
};

} // namespace chivewinch::wire
