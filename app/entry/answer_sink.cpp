#include "entry/answer_sink.hpp"

#include "http/sse.hpp"

#include <utility>

namespace chivewinch::entry {

void AnswerSink::setHead(unsigned status, const std::string& contentType)
{
    if (!this->isFirst)
        return;
    this->answer.status = status;
    this->answer.contentType = contentType;
}

http::Task<bool> AnswerSink::startStream()
{
    http::Response head = this->answer;
    head.headers.emplace_back("X-Request-Id", this->request.shownId);
    head.headers.emplace_back("Cache-Control", "no-cache");
    co_return co_await this->writer.start(head);
}

http::Task<bool> AnswerSink::take(std::string_view payload)
{
    if (this->isFirst && !payload.empty()) {
        this->isFirst = false;
        const std::chrono::duration<double> sinceArrival = this->services.clock.wallNow() - this->request.arrived;
        this->services.timeToFirstToken.Observe(sinceArrival.count());
    }
    if (!this->isStreamed()) {
        this->answer.body += payload;
        co_return true;
    }
    if (!this->writer.started()) {
        const bool started = co_await this->startStream();
        if (!started)
            co_return false;
    }
    co_return co_await this->writer.write(payload);
}

http::Task<void> AnswerSink::finish()
{
    if (!this->isStreamed())
        co_return;
    // The stream of an answer without tokens has not been started yet.
    bool open = this->writer.started();
    if (!open)
        open = co_await this->startStream();
    if (open)
        open = co_await this->writer.write(http::makeEvent(http::streamEndData));
    if (open)
        (void)co_await this->writer.finish();
}

http::Task<void> AnswerSink::fail(const ApiError& error)
{
    if (!this->writer.started()) {
        auto response = toResponse(error);
        response.headers.emplace_back("X-Request-Id", this->request.shownId);
        (void)co_await this->writer.send(std::move(response));
        co_return;
    }
    const auto last = http::makeEvent(toJson(error));
    const bool open = co_await this->writer.write(last);
    if (open)
        (void)co_await this->writer.finish();
}

} // namespace chivewinch::entry
