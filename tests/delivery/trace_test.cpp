#include "delivery/delivery_plan.hpp"
#include "delivery/gate.hpp"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>

namespace chivewinch::delivery {

namespace internal {

const std::map<std::string, EventKind> eventKinds { { "connect_failed", EventKind::ConnectFailed },
    { "not_written", EventKind::NotWritten }, { "refused", EventKind::Refused }, { "cancelled", EventKind::Cancelled },
    { "connection_lost", EventKind::ConnectionLost }, { "timed_out", EventKind::TimedOut },
    { "stream_broken", EventKind::StreamBroken }, { "wrong_start", EventKind::WrongStart },
    { "prefix_mismatch", EventKind::PrefixMismatch }, { "complete", EventKind::Complete } };

base::RefusalReason parseReason(const std::string& name)
{
    for (std::size_t i = 0; i < static_cast<std::size_t>(base::RefusalReason::Count); ++i)
        if (base::toString(static_cast<base::RefusalReason>(i)) == name)
            return static_cast<base::RefusalReason>(i);
    ADD_FAILURE() << "unknown refusal reason " << name;
    return base::RefusalReason::None;
}

std::string describe(const std::optional<Action>& action)
{
    if (!action)
        return "ignored";
    if (const auto* retry = std::get_if<Retry>(&*action))
        return std::string { retry->replay ? "replay " : "retry " } + std::string { base::toString(retry->reason) };
    if (const auto* resume = std::get_if<Resume>(&*action))
        return "resume " + std::to_string(resume->fromToken);
    const auto& finish = std::get<Finish>(*action);
    return "finish " + std::string { base::toString(finish.outcome) } + (finish.streamError ? " stream_error" : "");
}

/** Runs one trace. Each line has a command and, after "->", its expected result. */
class TraceRunner {
public:
    std::string execute(std::istringstream& line)
    {
        std::string command;
        line >> command;
        if (command == "restart" || command == "wait" || command == "drain" || command == "plan")
            return this->control(command, line);
        if (command == "begin")
            return this->begin(line);
        if (command == "event")
            return this->event(line);
        return this->gateCommand(command, line);
    }

private:
    std::string control(const std::string& command, std::istringstream& line)
    {
        std::uint64_t number = 0;
        if (command == "plan") {
            std::string flag;
            PlanOptions options;
            while (line >> flag) {
                options.repeatable = options.repeatable || flag == "repeatable";
                options.resumable = options.resumable || flag == "resumable";
            }
            this->plan = std::make_unique<DeliveryPlan>(base::RequestId { .high = 0, .low = 1 }, options);
            return "ok";
        }
        line >> number;
        if (command == "restart")
            this->gate = std::make_unique<Gate>(this->clock, base::Incarnation { number });
        else if (command == "wait")
            this->clock.advance(std::chrono::seconds { number });
        else
            this->gate->drain();
        return "ok";
    }

    std::string begin(std::istringstream& line)
    {
        std::uint64_t incarnation = 0;
        line >> incarnation;
        this->open = this->plan->begin(base::Incarnation { incarnation });
        return "attempt " + std::to_string(this->open.attempt.number);
    }

    std::string event(std::istringstream& line)
    {
        AttemptEvent event { .key = this->open };
        std::string word;
        line >> event.key.attempt.number >> word;
        event.kind = eventKinds.at(word);
        while (line >> word) {
            if (word == "proved")
                event.notRun = true;
            else if (word == "delivered")
                line >> event.delivered.tokens >> event.delivered.bytes;
            else
                event.refusal = parseReason(word);
        }
        return describe(this->plan->handle(event, this->clock.now()));
    }

    std::string gateCommand(const std::string& command, std::istringstream& line)
    {
        std::uint64_t request = 0;
        std::uint32_t number = 0;
        std::uint64_t incarnation = 0;
        line >> request >> number >> incarnation;
        const AttemptKey key { .attempt = { .request = { .high = 0, .low = request }, .number = number },
            .incarnation = base::Incarnation { incarnation } };
        const auto issued = this->issued.try_emplace(key, this->clock.wallNow()).first->second;
        if (command == "cancel") {
            constexpr std::array names { "not_run", "running", "finished", "unknown" };
            return names.at(static_cast<std::size_t>(this->gate->cancel({ .key = key, .issued = issued })));
        }
        if (command == "finish") {
            this->gate->finish(key.attempt, base::Outcome::Done);
            return "ok";
        }
        const auto admission = this->gate->admit({ .key = key,
            .issued = issued,
            .lifetime = std::chrono::seconds { 10 },
            .remaining = std::chrono::seconds { 60 } });
        if (admission.admitted)
            return "admitted";
        return std::string { base::toString(admission.reason) } + (admission.notRun ? " proved" : " unproved");
    }

    base::ManualClock clock;
    std::unique_ptr<Gate> gate = std::make_unique<Gate>(this->clock, base::Incarnation { 1 });
    std::unique_ptr<DeliveryPlan> plan;
    AttemptKey open;
    std::map<AttemptKey, base::WallTime> issued;
};

} // namespace internal

// Guards against changed decisions in the recorded situations; each file records one.
TEST(DeliveryTraceTest, RecordedTracesHaveStatedOutcomes)
{
    int traces = 0;
    for (const auto& file : std::filesystem::directory_iterator { TRACE_DIRECTORY }) {
        ++traces;
        internal::TraceRunner runner;
        std::ifstream input { file.path() };
        std::string text;
        while (std::getline(input, text)) {
            const auto arrow = text.find(" -> ");
            if (text.starts_with('#') || arrow == std::string::npos)
                continue;
            std::istringstream line { text.substr(0, arrow) };
            EXPECT_EQ(runner.execute(line), text.substr(arrow + 4)) << file.path().filename() << ": " << text;
        }
    }
    EXPECT_EQ(traces, 5);
}

} // namespace chivewinch::delivery
