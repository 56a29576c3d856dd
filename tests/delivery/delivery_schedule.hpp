#pragma once

#include "base/random.hpp"
#include "delivery/answer_checker.hpp"
#include "delivery/delivery_plan.hpp"
#include "delivery/gate.hpp"
#include "support/fake_scheduler.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace chivewinch::delivery {

/** Largest fault rates of a schedule, as probabilities, and the mechanisms under test. */
struct ScheduleOptions {
    std::uint64_t seed = 0;
    double lossRate = 0.15;
    double duplicateRate = 0.4;
    double lateRate = 0.2; ///< Share of messages that are delayed up to 90 s.
    double misroutedRate = 0.1; ///< Share of frames that also reach another request.
    double crashRate = 0.3; ///< Probability that an agent crashes in a schedule.
    double pauseRate = 0.2;
    GateOptions gate { .maxConcurrent = 3, .maxRecords = 64 };
    CheckerOptions checker;
    bool requireProof = true;
};

/** Result of one request and the actions of the fake engines, for comparison. */
struct RequestResult {
    bool repeatable = false;
    std::optional<Finish> finish;
    std::uint32_t runs = 0;
    std::string delivered;
    std::vector<std::string> possibleAnswers; ///< Complete answers; more than one if generation is not deterministic.
    bool deliveredPrefix = true; ///< The delivered bytes are a prefix of a possible answer.
    bool contradictedProof = false; ///< An agent answered "not run" for an attempt that ran before or later.
    std::uint32_t maxRunsPerAttempt = 0; ///< Largest number of runs of the same attempt.
};

/** Simulates a few requests over faulty channels to real gates. The engines are deterministic text generators. */
class DeliverySchedule {
public:
    explicit DeliverySchedule(const ScheduleOptions& options);

    [[nodiscard]] std::vector<RequestResult> run();

private:
    struct Message {
        AttemptStart start;
        std::uint64_t fromToken = 0;
        std::size_t request = 0;
    };

    struct Agent {
        std::unique_ptr<Gate> gate;
        std::uint64_t incarnation = 1;
        base::SteadyTime pausedUntil {};
    };

    struct Request {
        base::RequestId id;
        bool resumable = false;
        bool deterministic = true;
        std::uint64_t tokens = 0;
        std::unique_ptr<DeliveryPlan> plan;
        AnswerChecker checker;
        AttemptKey open;
        RequestResult result;
    };

    struct Run {
        Message message;
        std::size_t agent = 0;
        std::uint64_t incarnation = 0;
        std::uint64_t token = 0;
        std::uint64_t sequence = 0;
        std::uint64_t bytes = 0;
        base::StreamHash hash;
    };

    void addRequest(std::size_t index);
    void scheduleFaults(std::size_t index);
    void attempt(std::size_t index, AnswerStart start, std::uint64_t fromToken);
    void transmit(const std::function<void()>& deliver);
    void arrive(std::size_t agent, const Message& message);
    void arriveCancel(std::size_t agent, const CancelRequest& cancel, std::size_t request);
    void step(const std::shared_ptr<Run>& run);
    void end(const std::shared_ptr<Run>& run);
    void sendToEntry(std::size_t request, std::function<void(Request&)> deliver);
    void frame(Request& request, const AnswerFrame& frame);
    void event(std::size_t index, const AttemptKey& key, EventKind kind, base::RefusalReason refusal = {},
        bool notRun = false);
    void timeOut(std::size_t index, std::size_t agent, const Message& message);
    void recordProof(const AttemptKey& key, std::size_t request);
    [[nodiscard]] bool chance(double probability) { return this->random.unit() < probability; }
    [[nodiscard]] std::chrono::nanoseconds delay();
    [[nodiscard]] std::string token(const Request& request, const AttemptKey& key, std::uint64_t index) const;

    ScheduleOptions options;
    base::SeededRandom random;
    base::ManualClock clock;
    support::FakeScheduler scheduler { this->clock };
    std::vector<Agent> agents;
    std::vector<Request> requests;
    std::map<AttemptKey, std::uint32_t> runsByAttempt;
    std::map<AttemptKey, std::size_t> proofs;
};

} // namespace chivewinch::delivery
