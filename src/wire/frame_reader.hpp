#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chivewinch::wire {

/** Bytes of the big-endian length before each message. */
inline constexpr std::size_t lengthPrefixBytes = 4;

/** Largest message accepted from a peer, in bytes. */
inline constexpr std::size_t maxMessageBytes = 16U << 20;

/** Appends one length-prefixed message. */
void appendFrame(std::string& out, std::string_view message);

/** Length-prefixed form of a protobuf message. */
template <typename Message> [[nodiscard]] std::string frame(const Message& message)
{
    std::string bytes;
    message.SerializeToString(&bytes);
    std::string out;
    out.reserve(bytes.size() + lengthPrefixBytes);
    appendFrame(out, bytes);
    return out;
}

/** Cuts a byte stream into length-prefixed messages. */
class FrameReader {
public:
    explicit FrameReader(std::size_t maxBytes = maxMessageBytes) noexcept
        : maxBytes { maxBytes }
    {
    }

    void append(std::string_view bytes);

    /** Next whole message; nullopt when more bytes are needed or the stream is malformed. */
    [[nodiscard]] std::optional<std::string> next();

    /** True after a length above the limit; the stream cannot be read any further. */
    [[nodiscard]] bool malformed() const noexcept { return this->broken; }

    /** Bytes held of a message that is not whole yet. */
    [[nodiscard]] std::size_t pendingBytes() const noexcept { return this->buffer.size() - this->offset; }

private:
    std::size_t maxBytes;
    std::string buffer;
    std::size_t offset = 0;
    bool broken = false;
};

} // namespace chivewinch::wire
