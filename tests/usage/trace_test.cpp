#include "usage/support.hpp"
#include "usage/verifier.hpp"

#include <gtest/gtest.h>

#include <fstream>
#include <map>
#include <sstream>

namespace chivewinch::usage::test {

namespace {

Side sideOf(const std::string& instance) { return instance.starts_with("entry") ? Side::Entry : Side::Agent; }

Result resultOf(const std::string& name)
{
    for (const auto result : { Result::Done, Result::Broken, Result::Cancelled, Result::Refused, Result::Unknown }) {
        if (toString(result) == name)
            return result;
    }
    throw std::invalid_argument("unknown result " + name);
}

/** Runs the events of a trace and stores its expected totals. */
class Replay {
public:
    World world { 9 };
    std::map<std::string, std::map<std::string, std::uint64_t>> expected;
    KeyList keys;

    void run(std::istream& trace)
    {
        for (std::string line; std::getline(trace, line);) {
            std::istringstream words { line };
            std::string first;
            words >> first;
            if (first == "expect")
                this->expect(words);
            else if (first != "#")
                this->event(std::chrono::milliseconds { std::stoll(first) }, words);
        }
        this->world.scheduler.runFor(std::chrono::minutes { 5 });
        for (auto& [instance, ledger] : this->ledgers)
            ledger->close([] {});
        this->world.scheduler.runFor(std::chrono::minutes { 5 });
    }

private:
    WallMillis start = this->world.now();
    std::map<std::string, ProcessId> processes;
    std::map<std::string, std::unique_ptr<Ledger>> ledgers;

    void expect(std::istringstream& words)
    {
        std::string owner;
        std::string field;
        words >> owner >> field;
        words >> this->expected[owner][field];
    }

    void event(std::chrono::milliseconds time, std::istringstream& words)
    {
        this->world.scheduler.runFor(this->start + time - this->world.now());
        std::string kind;
        std::string name;
        words >> kind >> name;
        if (kind == "store")
            this->world.objects.faults().down = words.str().ends_with("down");
        else if (kind == "crash")
            this->ledgers.erase(name);
        else if (kind == "start")
            this->startProcess(name);
        else
            this->ledgers.at(name)->add(this->parse(words));
    }

    void startProcess(const std::string& instance)
    {
        const auto now = this->world.now().time_since_epoch();
        const auto nanos = std::chrono::duration_cast<std::chrono::nanoseconds>(now).count();
        this->processes[instance] = { .instance = instance, .incarnation = static_cast<base::Incarnation>(nanos) };
        this->keys.add(instance, sideOf(instance), keyOf(instance).publicKey());
        this->ledgers[instance]
            = this->world.ledger({ .side = sideOf(instance), .process = this->processes[instance] });
        this->ledgers[instance]->start();
    }

    Record parse(std::istringstream& words)
    {
        Record record;
        std::string request;
        std::string result;
        std::int64_t issued = 0;
        auto& counts = record.counts;
        words >> record.peerInstance >> request >> record.id.number >> result >> record.owner >> record.team
            >> record.model >> issued >> counts.promptTokens >> counts.cachedTokens >> counts.generatedTokens
            >> counts.resumedTokens >> counts.serviceCalls >> counts.spillOvers;
        if (record.peerInstance == "-")
            record.peerInstance.clear();
        else
            record.peerIncarnation = this->processes.at(record.peerInstance).incarnation;
        record.id.request = base::parseRequestId(request).value();
        record.result = resultOf(result);
        record.issued = this->start + std::chrono::milliseconds { issued };
        record.finished = this->world.now();
        return record;
    }
};

} // namespace

// Guards against an unintended change of the counting rule. A synthetic hour with crashes and a store outage must
// produce the totals that the trace file states.
TEST(TraceTest, HourProducesExpectedTotals)
{
    std::ifstream trace { CHIVEWINCH_USAGE_TRACES "/hour.txt" };
    ASSERT_TRUE(trace);
    Replay replay;
    replay.run(trace);
    Verifier verifier { {}, replay.keys };
    for (const auto& [name, bytes] : replay.world.memory.all())
        verifier.add(name, bytes);
    const auto report = verifier.finish();
    for (const auto& finding : report.findings)
        EXPECT_EQ(finding.kind, FindingKind::OpenEnd) << toString(finding);
    ASSERT_EQ(replay.expected.size(), 2U);
    std::uint64_t fromAgents = 0;
    for (const auto& [owner, totals] : report.perOwner()) {
        fromAgents += totals.completedFromAgent;
        for (const auto& field : totalsFields) {
            if (field.member == &Totals::completedFromAgent)
                continue;
            EXPECT_EQ(totals.*field.member, replay.expected[owner][std::string { field.name }])
                << owner << ' ' << field.name;
        }
    }
    EXPECT_GT(fromAgents, 0U);
}

} // namespace chivewinch::usage::test
