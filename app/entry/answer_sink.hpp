#pragma once

#include "entry/api_error.hpp"
#include "entry/caller_request.hpp"
#include "entry/services.hpp"
#include "http/response_writer.hpp"
#include "http/status.hpp"

#include <string>
#include <string_view>

namespace chivewinch::entry {

/** Receives the verified answer of one request and either streams it to the caller or buffers it. */
class AnswerSink {
public:
    AnswerSink(Services& services, const CallerRequest& request, http::ResponseWriter& writer)
        : services { services }
        , request { request }
        , writer { writer }
    {
    }

    /** False if the caller has a part of the answer and an answer with this head cannot be its continuation. */
    [[nodiscard]] bool canContinueWith(unsigned status, const std::string& contentType) const
    {
        return this->isFirst || (status == this->answer.status && contentType == this->answer.contentType);
    }
    /** Sets the status and content type of the answer; ignored after the first bytes were taken. */
    void setHead(unsigned status, const std::string& contentType);
    /** Streams or buffers the next bytes; returns false if the caller has disconnected. */
    [[nodiscard]] http::Task<bool> take(std::string_view payload);
    /** Discards the buffered answer before an attempt that starts again from the beginning. */
    void restart() { this->answer = {}; }

    /** Ends a complete stream. Does nothing for a buffered answer, which takeAnswer() returns. */
    [[nodiscard]] http::Task<void> finish();
    /** Reports the error to the caller, as a response or as the last event of a stream that has started. */
    [[nodiscard]] http::Task<void> fail(const ApiError& error);
    [[nodiscard]] http::Response takeAnswer() { return std::move(this->answer); }

private:
    Services& services;
    const CallerRequest& request;
    http::ResponseWriter& writer;
    http::Response answer;
    bool isFirst = true;

    /** An error answer of a target is buffered and sent as a whole, even if the caller requested a stream. */
    [[nodiscard]] bool isStreamed() const noexcept
    {
        return this->request.stream && this->answer.status == http::status::ok;
    }
    [[nodiscard]] http::Task<bool> startStream();
};

} // namespace chivewinch::entry
