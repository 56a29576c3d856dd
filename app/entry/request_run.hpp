#pragma once

#include "base/clock.hpp"
#include "delivery/answer_checker.hpp"
#include "delivery/delivery_plan.hpp"
#include "entry/attempt_channel.hpp"
#include "entry/caller_request.hpp"
#include "entry/services.hpp"
#include "http/response_writer.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace chivewinch::entry {

/** Runs one admitted request: chooses targets, sends attempts and returns the answer to the caller. */
class RequestRun {
public:
    RequestRun(Services& services, const CallerRequest& request, http::ResponseWriter& writer,
        std::shared_ptr<RequestChannel> channel);

    /** How the request ended, for the claim of a keyed request and for logs. */
    struct Result {
        base::Outcome outcome = base::Outcome::NotRun;
        base::RefusalReason reason = base::RefusalReason::None;
        http::Response answer; ///< For a Done answer that was not streamed.
    };

    /** Completes when the caller has its answer. An answer that is not streamed is returned instead of sent. */
    [[nodiscard]] http::Task<Result> run();

private:
    Services& services;
    const CallerRequest& request;
    http::ResponseWriter& writer;
    std::shared_ptr<RequestChannel> channel;
    delivery::DeliveryPlan plan;
    delivery::AnswerChecker checker;
    std::vector<base::TargetId> excluded;
    http::Response answer;
    bool callerGone = false;
    bool firstPayload = true;

    /** The attempt that is open. */
    struct Attempt {
        delivery::AttemptKey key;
        base::TargetId target;
        std::shared_ptr<Link> link;
        base::WallTime issued;
        std::uint64_t fromToken = 0;
        std::uint64_t tokens = 0;
        std::size_t unreturned = 0; ///< Window to return to the link.
        bool spilled = false;
        std::optional<wire::LoadReport> load;
        wire::UsageCount usage;
    };

    [[nodiscard]] http::Task<std::optional<routing::Choice>> chooseTarget(base::RefusalReason& refusal);
    [[nodiscard]] http::Task<std::optional<routing::Choice>> waitForTarget(base::RefusalReason& refusal);
    [[nodiscard]] http::Task<bool> waitForSuspicion(std::chrono::nanoseconds wait);
    [[nodiscard]] std::optional<routing::Choice> tryChoose(
        base::RefusalReason& refusal, std::chrono::nanoseconds& wait);
    [[nodiscard]] base::RefusalReason applySuspicion(
        std::vector<base::TargetId>& without, std::chrono::nanoseconds& wait) const;
    [[nodiscard]] routing::RouteRequest routeRequest(const std::vector<base::TargetId>& without) const;

    [[nodiscard]] Attempt openAttempt(
        const routing::Choice& choice, delivery::AnswerStart start, std::uint64_t fromToken);
    [[nodiscard]] wire::AttemptStart startMessage(const Attempt& attempt) const;
    [[nodiscard]] http::Task<delivery::AttemptEvent> followAttempt(Attempt& attempt);
    [[nodiscard]] http::Task<std::optional<delivery::AttemptEvent>> handleReply(
        Attempt& attempt, ReplyReceived received);
    [[nodiscard]] std::optional<delivery::AttemptEvent> handleHead(Attempt& attempt, const wire::AnswerHead& head);
    [[nodiscard]] http::Task<std::optional<delivery::AttemptEvent>> handleFrame(
        Attempt& attempt, const wire::AnswerFrame& frame);
    [[nodiscard]] std::optional<delivery::AttemptEvent> handleFinal(Attempt& attempt, const wire::FinalFrame& final);
    [[nodiscard]] std::optional<delivery::AttemptEvent> handleRefusal(Attempt& attempt, const wire::Refusal& refusal);
    [[nodiscard]] http::Task<bool> deliver(std::string_view payload);
    [[nodiscard]] http::Task<bool> startStream();
    void returnWindow(Attempt& attempt, std::size_t bytes);
    void cancel(const Attempt& attempt);
    void closeAttempt(const Attempt& attempt, const delivery::AttemptEvent& event);
    void noteTargetResult(const Attempt& attempt, const delivery::AttemptEvent& event);
    void recordUsage(const Attempt& attempt, usage::Result result);

    [[nodiscard]] http::Task<Result> finishDone();
    [[nodiscard]] http::Task<Result> finishWithError(const delivery::Finish& finish);
    [[nodiscard]] delivery::AttemptEvent event(const Attempt& attempt, delivery::EventKind kind) const;
    [[nodiscard]] base::SteadyTime silenceLimit() const;
};

} // namespace chivewinch::entry
