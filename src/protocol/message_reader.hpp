#pragma once

#include "wire/frame_reader.hpp"

#include <string_view>

namespace chivewinch::protocol {

/** Parses a stream of length-prefixed messages of one type. */
class MessageReader {
public:
    /**
     * Calls the handler with each complete message and its size in bytes including the length prefix; false if the
     * stream is malformed.
     */
    template <typename Message, typename Handler> [[nodiscard]] bool read(std::string_view bytes, Handler handler)
    {
        this->frames.append(bytes);
        while (const auto frame = this->frames.next()) {
            Message message;
            if (!message.ParseFromString(*frame))
                return false;
            handler(message, frame->size() + wire::lengthPrefixBytes);
        }
        return !this->frames.malformed();
    }

private:
    wire::FrameReader frames;
};

} // namespace chivewinch::protocol
