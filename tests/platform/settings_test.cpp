#include "platform/agent_settings.hpp"
#include "platform/entry_settings.hpp"

#include <gtest/gtest.h>

namespace chivewinch::platform {
namespace {

using namespace std::chrono_literals;

const std::string entryText = "node=front-1\nzone=z\nlisten.front=10.1.0.40:8227\nlisten.ready=10.1.0.40:8220\n"
                              "platform.address=10.200.1.7:8223\nbounds.graceS=8\nbounds.budgetSlack=94\n"
                              "bounds.retryBudgetRatio=0.2\nportRange=7340,7355\nsomething.new=1\n";

std::optional<EntrySettings> entry(const std::string& text, std::string& reason)
{
    const auto file = SettingsFile::parse(text, reason);
    return file ? entrySettings(*file, reason) : std::nullopt;
}

TEST(PlatformSettings, TranslatesAnEntry)
{
    std::string reason;
    const auto settings = entry(entryText, reason);
    ASSERT_TRUE(settings) << reason;
    EXPECT_EQ(settings->gateway.instance, "front-1");
    EXPECT_EQ(settings->gateway.listen.port, 8227);
    EXPECT_EQ(settings->store.address, "10.200.1.7");
    EXPECT_LT(settings->gateway.drain.total, 8s);
    EXPECT_EQ(settings->gateway.relay.value().listen, (settings::Endpoint { .address = "10.1.0.40", .port = 7340 }));
    EXPECT_DOUBLE_EQ(settings->gateway.dispatcher.router.retryBudget.share, 0.2);
    EXPECT_TRUE(settings->gateway.knownZones.empty());
}

TEST(PlatformSettings, ReadsTheZonesOfTheDeployment)
{
    std::string reason;
    const auto settings = entry(entryText + "zones.z=here\nzones.y=here\nzonesx=1\n", reason);
    ASSERT_TRUE(settings) << reason;
    EXPECT_EQ(settings->gateway.knownZones, (std::set<base::ZoneId> { "y", "z" }));
}

// Guards against more connections than the memory or the descriptors of a small machine allow, and against a limit that
// ordinary callers of a usual machine meet.
TEST(PlatformSettings, LimitsConnectionsByTheMachine)
{
    std::string reason;
    const auto connections = [&reason](const std::string& limits) {
        const auto settings = entry(entryText + limits, reason);
        return settings ? settings->gateway.maxConnections : 0;
    };
    EXPECT_LE(connections("limits.memoryMb=64\nlimits.maxFds=8192\n"), 250U);
    EXPECT_LE(connections("limits.memoryMb=512\nlimits.maxFds=900\n"), 350U);
    EXPECT_GE(connections("limits.memoryMb=160\nlimits.maxFds=4100\n"), 500U);
    EXPECT_LE(connections("limits.memoryMb=4096\nlimits.maxFds=65536\n"), 2'000U);
}

// Guards against an evacuation that takes effect later than its own bound, if that is the shorter one.
TEST(PlatformSettings, WatchesTheConfigurationWithinTheBoundOfEvacuations)
{
    std::string reason;
    const auto plain = entry(entryText + "bounds.applyMs=2000\n", reason);
    const auto longer = entry(entryText + "bounds.applyMs=2000\nbounds.evacuateMs=5000\n", reason);
    const auto shorter = entry(entryText + "bounds.applyMs=2000\nbounds.evacuateMs=800\n", reason);
    ASSERT_TRUE(plain && longer && shorter) << reason;
    EXPECT_EQ(plain->configurationWatch, longer->configurationWatch);
    EXPECT_LT(shorter->configurationWatch.wait, plain->configurationWatch.wait);
    EXPECT_LT(shorter->gateway.relay->maxAge, plain->gateway.relay->maxAge);
}

// Guards against a process that runs with an invalid setting, and against an error that does not name the setting.
TEST(PlatformSettings, ErrorNamesTheInvalidSetting)
{
    const std::vector<std::pair<std::string, std::string>> cases { { "listen.front=here", "listen.front" },
        { "listen.ready=", "listen.ready" }, { "bounds.graceS=soon", "bounds.graceS" },
        { "bounds.retryBudgetRatio=7", "bounds.retryBudgetRatio" }, { "zone=", "zone" }, { "portRange=0", "portRange" },
        { "no equals", "NAME=VALUE" } };
    for (const auto& [line, name] : cases) {
        std::string reason;
        EXPECT_FALSE(entry(entryText + line + "\n", reason)) << line;
        EXPECT_NE(reason.find(name), std::string::npos) << reason;
    }
    std::string reason;
    EXPECT_FALSE(entry("node=x\n", reason));
    EXPECT_FALSE(SettingsFile::load("/nowhere/settings.conf", reason));
}

TEST(PlatformSettings, TranslatesAnAgent)
{
    std::string reason;
    const auto file = SettingsFile::parse("node=side-1\nip=10.1.0.43\napp=10.1.0.43:8228\nservice=s\n"
                                          "portRange=7340,7355\nplatform.address=10.200.1.7:8223\r\n",
        reason);
    ASSERT_TRUE(file);
    const auto settings = agentSettings(*file, reason);
    ASSERT_TRUE(settings) << reason;
    EXPECT_EQ(settings->agent.listen, (settings::Endpoint { .address = "10.1.0.43", .port = 7340 }));
    EXPECT_EQ(settings->pool, "s");
    const auto wrong = SettingsFile::parse("node=side-1\nip=1.2.3.4\napp=1.2.3.4:1\nservice=s\nportRange=x\n"
                                           "platform.address=1.2.3.4:2\n",
        reason);
    EXPECT_FALSE(agentSettings(*wrong, reason));
    EXPECT_NE(reason.find("portRange"), std::string::npos);
}

} // namespace
} // namespace chivewinch::platform
