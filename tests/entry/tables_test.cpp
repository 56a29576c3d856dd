#include "entry/tables.hpp"

#include <gtest/gtest.h>

#include <atomic>
#include <thread>

namespace chivewinch::entry {

// Guards against a data race between reading and replacing the bundle in force, which ThreadSanitizer reports.
TEST(TablesTest, BundleIsReplacedWhileItIsRead)
{
    constexpr std::uint64_t versions = 2'000;
    const EntryOptions options { .instance = "entry-1", .zone = "zone-a" };
    const base::SystemClock clock;
    Tables tables { options, clock };
    std::atomic<bool> isDone { false };
    std::uint64_t newest = 0;
    std::thread reader { [&] {
        while (!isDone) {
            const auto snapshot = tables.snapshot();
            const auto version = snapshot ? static_cast<std::uint64_t>(snapshot->version()) : 0;
            EXPECT_GE(version, newest);
            newest = version;
        }
    } };
    for (std::uint64_t version = 1; version <= versions; ++version)
        tables.applyBundle(
            std::make_shared<const bundle::Snapshot>(bundle::Bundle {}, base::BundleVersion { version }, "hash"));
    isDone = true;
    reader.join();
    EXPECT_EQ(static_cast<std::uint64_t>(tables.snapshot()->version()), versions);
}

} // namespace chivewinch::entry
