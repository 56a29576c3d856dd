#include "logging/line_sink.hpp"

#include <algorithm>
#include <poll.h>
#include <unistd.h>

namespace chivewinch::logging {

namespace internal {

// A single write of up to this many bytes (PIPE_BUF) to a writable pipe does not block.
constexpr std::size_t atomicBytes = 4'096;

} // namespace internal

bool LineSink::isWritable() const noexcept
{
    pollfd state { .fd = this->descriptor, .events = POLLOUT, .revents = 0 };
    return ::poll(&state, 1, 0) == 1 && (state.revents & POLLOUT) != 0;
}

void LineSink::flush()
{
    std::size_t done = 0;
    while (done < this->waiting.size() && this->isWritable()) {
        const auto count = std::min(this->waiting.size() - done, internal::atomicBytes);
        const auto written = ::write(this->descriptor, this->waiting.data() + done, count);
        if (written <= 0)
            break;
        done += static_cast<std::size_t>(written);
    }
    this->waiting.erase(0, done);
}

void LineSink::write(std::string_view line)
{
    this->flush();
    if (this->waiting.size() + line.size() > this->maxWaiting) {
        ++this->dropped;
        return;
    }
    if (this->dropped > this->reported) {
        this->waiting += "event=log_lines_left_out count=" + std::to_string(this->dropped - this->reported) + "\n";
        this->reported = this->dropped;
    }
    this->waiting += line;
    this->flush();
}

} // namespace chivewinch::logging
