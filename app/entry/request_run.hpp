#pragma once

#include "delivery/answer_checker.hpp"
#include "delivery/delivery_plan.hpp"
#include "entry/answer_sink.hpp"
#include "entry/attempt.hpp"
#include "entry/caller_request.hpp"
#include "entry/request_channel.hpp"
#include "entry/services.hpp"
#include "entry/target_chooser.hpp"
#include "http/response_writer.hpp"

#include <cstdint>
#include <memory>

namespace chivewinch::entry {

/** Runs one admitted request: chooses targets, runs attempts and answers the caller. */
class RequestRun {
public:
    RequestRun(Services& services, const CallerRequest& request, http::ResponseWriter& writer,
        std::shared_ptr<RequestChannel> channel);

    /** Result of the request, for logs and for the claim of a request with an idempotency key. */
    struct Result {
        base::Outcome outcome = base::Outcome::NotRun;
        base::RefusalReason reason = base::RefusalReason::None;
        http::Response answer; ///< Set if the outcome is Done and the answer was not streamed.
    };

    /** Runs the request to its end. A streamed answer or an error is sent; an answer that is not streamed is returned.
     */
    [[nodiscard]] http::Task<Result> run();

private:
    Services& services;
    const CallerRequest& request;
    std::shared_ptr<RequestChannel> channel;
    delivery::DeliveryPlan plan;
    delivery::AnswerChecker checker;
    AnswerSink sink;
    TargetChooser chooser;
    delivery::AnswerStart answerStart = delivery::AnswerStart::Fresh;
    std::uint64_t fromToken = 0;
    bool callerGone = false;

    [[nodiscard]] http::Task<delivery::Action> runAttempt(routing::Choice choice);
    void closeAttempt(const Attempt& attempt, const delivery::AttemptEvent& event);
    void updateStrikes(const Attempt& attempt, const delivery::AttemptEvent& event);
    void updateTargetLoad(const Attempt& attempt, const delivery::AttemptEvent& event);
    /** Returns false if the retry budget is exhausted. */
    [[nodiscard]] bool mayRetry(const delivery::Action& action);
    void prepareNext(const delivery::Action& action);
    [[nodiscard]] http::Task<Result> finish(delivery::Finish finish);
};

} // namespace chivewinch::entry
