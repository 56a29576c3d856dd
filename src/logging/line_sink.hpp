#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace chivewinch::logging {

/**
 * Writes lines to a file descriptor without ever blocking. If the reader is slow, lines are buffered up to a limit;
 * further lines are dropped and counted. Not thread-safe.
 */
class LineSink {
public:
    explicit LineSink(int descriptor, std::size_t maxBufferBytes = 256U << 10) noexcept
        : descriptor { descriptor }
        , maxBufferBytes { maxBufferBytes }
    {
    }

    /** Writes, buffers or drops a line, which must end with a newline. */
    void write(std::string_view line);

    /** Number of lines dropped so far. */
    [[nodiscard]] std::uint64_t droppedLines() const noexcept { return this->droppedCount; }

private:
    int descriptor;
    std::size_t maxBufferBytes;
    std::string buffer;
    std::uint64_t droppedCount = 0;
    std::uint64_t reportedCount = 0;

    void flush();
    [[nodiscard]] bool isWritable() const noexcept;
};

} // namespace chivewinch::logging
