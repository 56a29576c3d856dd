#include "claim/claim_manager.hpp"
#include "store/memory_store.hpp"
#include "support/fake_scheduler.hpp"
#include "support/faulty_store.hpp"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>

namespace chivewinch::claim {

namespace internal {

std::string describe(const std::optional<ClaimResult>& result)
{
    if (!result)
        return "waiting";
    if (const auto* repeat = std::get_if<Repeat>(&*result))
        return "repeat " + std::string { base::toString(repeat->outcome) }
        + (repeat->answer ? " " + *repeat->answer : std::string {});
    constexpr std::array names { "granted", "", "in_progress", "conflict", "unavailable" };
    return names.at(result->index());
}

/** Runs the commands of one trace. Each line has a command and, after "->", its expected result. */
class TraceRunner {
public:
    std::string execute(std::istringstream& line)
    {
        std::string command;
        std::string name;
        line >> command >> name;
        if (command == "store")
            return this->fault(name);
        if (command == "wait") {
            this->scheduler.runFor(std::chrono::milliseconds { std::stoll(name) });
            return "ok";
        }
        if (command == "result")
            return describe(*this->results.at(name));
        std::string entry;
        line >> entry;
        auto& manager
            = this->managers.try_emplace(entry, this->clock, this->scheduler, this->random, this->faulty, this->objects)
                  .first->second;
        if (command == "settle")
            return this->settle(name, manager, line);
        std::string key;
        std::string body;
        line >> key >> body;
        auto& result = this->results[name] = std::make_shared<std::optional<ClaimResult>>();
        manager.claim({ .key = { .team = "t", .key = key }, .bodyHash = body, .deadline = this->clock.now() + timeout },
            [result](const ClaimResult& answer) { *result = answer; });
        this->keysOf[name] = key;
        return "ok";
    }

private:
    static constexpr std::chrono::seconds timeout { 5 };

    std::string fault(const std::string& name)
    {
        this->faulty.faults() = { .down = name == "down",
            .lostRequest = name == "loses_requests" ? 1.0 : 0.0,
            .lostAcknowledgement = name == "loses_answers" ? 1.0 : 0.0 };
        return "ok";
    }

    std::string settle(const std::string& name, ClaimManager& manager, std::istringstream& line)
    {
        std::string outcome;
        std::string answer;
        line >> outcome >> answer;
        const auto value = outcome == "done" ? base::Outcome::Done
            : outcome == "not-run"           ? base::Outcome::NotRun
                                             : base::Outcome::Unknown;
        const auto nonce = std::get<Granted>(**this->results.at(name)).nonce;
        manager.settle(
            { .team = "t", .key = this->keysOf[name] }, nonce, { .outcome = value, .answer = answer }, [](bool) {});
        return "ok";
    }

    base::ManualClock clock;
    support::FakeScheduler scheduler { this->clock };
    base::SeededRandom random { 9 };
    store::MemoryTableService tables;
    store::MemoryObjectStore objects;
    support::FaultyTableService faulty { this->tables, this->scheduler, this->random };
    std::map<std::string, ClaimManager> managers;
    std::map<std::string, std::shared_ptr<std::optional<ClaimResult>>> results;
    std::map<std::string, std::string> keysOf;
};

} // namespace internal

// Guards against changed results in the recorded cases. Each file is one case.
TEST(ClaimTraceTest, RecordedTracesHaveStatedOutcomes)
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
    EXPECT_EQ(traces, 4);
}

} // namespace chivewinch::claim
