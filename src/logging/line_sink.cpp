#include "logging/line_sink.hpp"

#include <algorithm>
#include <poll.h>
#include <unistd.h>

namespace chivewinch::logging {

namespace internal {

// A single write of up to this many bytes (PIPE_BUF) to a writable pipe does not block.
constexpr std::size_t maxAtomicWriteBytes = 4'096;

} // namespace internal

bool LineSink::isWritable() const noexcept
{
    pollfd state { .fd = this->descriptor, .events = POLLOUT, .revents = 0 };
    return ::poll(&state, 1, 0) == 1 && (state.revents & POLLOUT) != 0;
}

void LineSink::flush()
{
    std::size_t writtenBytes = 0;
    while (writtenBytes < this->buffer.size() && this->isWritable()) {
        const auto count = std::min(this->buffer.size() - writtenBytes, internal::maxAtomicWriteBytes);
        const auto written = ::write(this->descriptor, this->buffer.data() + writtenBytes, count);
        if (written <= 0)
            break;
        writtenBytes += static_cast<std::size_t>(written);
    }
    this->buffer.erase(0, writtenBytes);
}

void LineSink::write(std::string_view line)
{
    this->flush();
    if (this->buffer.size() + line.size() > this->maxBufferBytes) {
        ++this->droppedCount;
        return;
    }
    if (this->droppedCount > this->reportedCount) {
        this->buffer
            += "event=log_lines_left_out count=" + std::to_string(this->droppedCount - this->reportedCount) + "\n";
        this->reportedCount = this->droppedCount;
    }
    this->buffer += line;
    this->flush();
}

} // namespace chivewinch::logging
