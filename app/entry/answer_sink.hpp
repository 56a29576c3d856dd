#pragma once

#include "entry/api_error.hpp"
#include "entry/caller_request.hpp"
#include "entry/services.hpp"
#include "http/response_writer.hpp"
#include "http/status.hpp"

#include <string>
#include <string_view>

namespace chivewinch::entry {

/** Takes the checked answer of one request: streams it to the caller or collects it. */
class AnswerSink {
public:
    AnswerSink(Services& services, const CallerRequest& request, http::ResponseWriter& writer)
        : services { services }
        , request { request }
        , writer { writer }
    {
    }

    /** Status and content type of the answer; ignored once part of it was taken. */
    void setHead(unsigned status, const std::string& contentType);
    /** Takes the next bytes; false if the caller is gone. */
    [[nodiscard]] http::Task<bool> take(std::string_view payload);
    /** Forgets the bytes of an attempt that is run again from the start. */
    void restart() { this->answer = {}; }

    /** Ends a complete stream; an answer that is not streamed is left to takeAnswer. */
    [[nodiscard]] http::Task<void> finish();
    /** Tells the caller why there is no complete answer. */
    [[nodiscard]] http::Task<void> fail(const ApiError& error);
    [[nodiscard]] http::Response takeAnswer() { return std::move(this->answer); }

private:
    Services& services;
    const CallerRequest& request;
    http::ResponseWriter& writer;
    http::Response answer;
    bool isFirst = true;

    /** A target's error answer is passed on whole even if a stream was asked for. */
    [[nodiscard]] bool isStreamed() const noexcept
    {
        return this->request.stream && this->answer.status == http::status::ok;
    }
    [[nodiscard]] http::Task<bool> startStream();
};

} // namespace chivewinch::entry
