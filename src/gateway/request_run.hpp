#pragma once

#include "gateway/attempt.hpp"
#include "gateway/refusal.hpp"
#include "gateway/services.hpp"
#include "gateway/target_wait.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace chivewinch::gateway {

/** One request of a caller, from its arrival to its final answer. */
class RequestRun {
public:
    RequestRun(boost::asio::any_io_executor executor, Services& services, const http::Request& request,
        http::ResponseWriter& writer);

    [[nodiscard]] http::Task<void> run();
    /** Cancels the request after the caller has closed its connection. */
    void handleCallerDisconnect();
    /** Ends the request at the end of a drain; the caller gets an answer that is true at this moment. */
    void handleDrainEnd();

private:
    Services& services;
    const http::Request& request;
    http::ResponseWriter& writer;
    RequestHead head;
    base::SteadyTime arrived;
    base::SteadyTime deadline {};
    std::shared_ptr<const Snapshot> snapshot;
    const Route* route = nullptr;
    const Team* team = nullptr;
    std::string pool;
    base::RequestId id;
    RequestFeatures features;
    TargetWait targetWait;
    EventSequence events;
    StreamTiming timing;
    std::unique_ptr<Attempt> attempt;
    std::vector<base::TargetId> tried;
    std::optional<http::Response> targetAnswer; ///< Most recent failure answer of a target.
    http::BufferReservation targetAnswerMemory;
    bool isCallerGone = false;
    bool isDrainOver = false;
    bool timedOut = false;
    std::optional<Trial> trial; ///< Set while the request is blocked but may run at one target.

    /** Finds the route and the team; returns a refusal if the request is not allowed. */
    [[nodiscard]] std::optional<Refusal> admit();
    /** True if the request must not be sent to another target because it crashes targets. */
    [[nodiscard]] bool isBlocked() const;
    /** Time by which a run must have started to finish before the drain ends; nullopt if no drain has begun. */
    [[nodiscard]] std::optional<base::SteadyTime> latestStartInDrain() const;
    [[nodiscard]] bool canFinishBeforeDrainEnd() const;
    [[nodiscard]] TargetRequest targetRequest(std::uint32_t attemptNumber) const;
    /** Sets of targets to avoid if others are free at once, the best choice first. */
    [[nodiscard]] std::vector<std::vector<base::TargetId>> targetsToAvoid() const;
    [[nodiscard]] http::Task<std::optional<routing::Choice>> acquireTarget(std::uint32_t attemptNumber);
    [[nodiscard]] http::Task<std::optional<delivery::Finish>> runNextAttempt(delivery::DeliveryPlan& plan);
    [[nodiscard]] http::Task<AttemptResult> runAttempt(
        const membership::ListedTarget* target, const AttemptInput& input);
    /** Records the result and takes over the answer of the target. */
    void recordAttempt(const routing::Choice& choice, AttemptResult& end, std::uint32_t number);
    /** Records what the attempt shows about the request as the cause of a crash; returns true if it can be. */
    bool recordCrash(const routing::Choice& choice, const AttemptResult& end);
    [[nodiscard]] delivery::AttemptEvent toAttemptEvent(
        const AttemptResult& end, const delivery::AttemptKey& key) const;
    [[nodiscard]] http::Task<void> finish(const delivery::Finish& last);
    [[nodiscard]] http::Task<void> refuse(const Refusal& refusal);
    /** Time after which a caller that is refused for this reason should retry. */
    [[nodiscard]] std::chrono::milliseconds retryAfter(base::RefusalReason reason) const;
    [[nodiscard]] std::chrono::milliseconds sinceArrival() const;
    void logResult(std::string_view outcome, std::string_view reason, unsigned status) const;
};

} // namespace chivewinch::gateway
