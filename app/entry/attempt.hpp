#pragma once

#include "delivery/answer_checker.hpp"
#include "delivery/delivery_plan.hpp"
#include "entry/answer_sink.hpp"
#include "entry/caller_request.hpp"
#include "entry/request_channel.hpp"
#include "entry/services.hpp"
#include "usage/record.hpp"

#include <cstdint>
#include <memory>
#include <optional>

namespace chivewinch::entry {

/** One attempt of a request on one target, from its start to its last event. */
class Attempt {
public:
    /** Objects of the request that an attempt uses. */
    struct Context {
        Services& services;
        const CallerRequest& request;
        delivery::AnswerChecker& checker;
        AnswerSink& sink;
        std::shared_ptr<RequestChannel> channel;
    };

    struct Start {
        delivery::AttemptKey key;
        routing::Choice choice;
        std::uint64_t fromToken = 0;
    };

    Attempt(Context context, Start start);

    /** Sends the attempt and forwards its answer to the sink until the attempt ends. */
    [[nodiscard]] http::Task<delivery::AttemptEvent> run();

    [[nodiscard]] const base::TargetId& target() const noexcept { return this->start.choice.target; }
    [[nodiscard]] const std::optional<wire::LoadReport>& load() const noexcept { return this->lastLoad; }
    [[nodiscard]] bool callerGone() const noexcept { return this->isCallerGone; }
    [[nodiscard]] usage::Record usageRecord(usage::Result result) const;

private:
    Context context;
    Start start;
    std::shared_ptr<Link> link;
    base::WallTime issued;
    std::uint64_t tokens = 0;
    std::size_t unreturnedBytes = 0; ///< Receive window not yet returned to the link.
    std::optional<wire::LoadReport> lastLoad;
    wire::UsageCount usage;
    bool isCallerGone = false;

    using Ended = std::optional<delivery::AttemptEvent>;

    [[nodiscard]] wire::AttemptStart startMessage() const;
    [[nodiscard]] bool isSpilled() const noexcept { return this->start.choice.kind == routing::ChoiceKind::Spilled; }
    [[nodiscard]] Ended closed(const AttemptClosed& event) const;
    [[nodiscard]] http::Task<Ended> handle(ReplyReceived received);
    [[nodiscard]] Ended handleHead(const wire::AnswerHead& head);
    [[nodiscard]] http::Task<Ended> handleFrame(const wire::AnswerFrame& frame);
    [[nodiscard]] Ended handleFinal(const wire::FinalFrame& final);
    [[nodiscard]] Ended handleRefusal(const wire::Refusal& refusal);
    void returnWindow(std::size_t bytes);
    void cancel();
    /** Cancels the attempt and returns an event of this kind. */
    [[nodiscard]] delivery::AttemptEvent abandon(delivery::EventKind kind);
    [[nodiscard]] delivery::AttemptEvent event(delivery::EventKind kind) const;
    [[nodiscard]] base::SteadyTime silenceLimit() const;
};

/** Converts a load report from its wire form; nullopt if there is none. */
[[nodiscard]] std::optional<routing::LoadReport> toRoutingLoad(const std::optional<wire::LoadReport>& report);

} // namespace chivewinch::entry
